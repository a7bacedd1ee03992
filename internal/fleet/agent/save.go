package agent

import (
	"context"
	"errors"
	"slices"
	"time"
)

const (
	savePause = 50 * time.Millisecond // between two saves
	saveRetry = time.Second           // after one that left nothing certain on disk
)

// openCopy reads the durable copy. One that is damaged is refused, counted and logged, and the agent starts without. One of another
// scope is served as far as it goes; where the scope has a service that it lacks, a whole read is due.
func (a *Agent) openCopy() {
	d, stored, err := openDisk(a.cfg.Dir, a.cfg.Node, a.cfg.Services)
	if err != nil {
		a.m.refused.Inc()
		a.cfg.Log.Error("durable copy refused", "err", err)
	}
	if stored.truncated {
		a.cfg.Log.Warn("durable copy: the last record is cut short, it is left out", "revision", stored.copy.Revision)
	}
	a.disk, a.copy = d, stored.copy
	a.counted, a.saved = a.copy.Revision > 0, a.copy.Revision // a copy is kept only of a node that was counted
	a.unread = stored.incomplete || widened(stored.services, a.cfg.Services) || a.copy.Revision == 0 && len(a.cfg.Services) > 0
	a.whole = a.unread
	if a.copy.Revision > 0 && !slices.Equal(stored.services, a.cfg.Services) {
		a.changeScope(stored.services)
	}
}

// changeScope leaves in the copy what is in the new scope, and writes it before the node is sent any of it: a further change of
// scope is then seen at the next start. The node is sent everything where it may hold what is no longer in scope.
func (a *Agent) changeScope(before []string) {
	restricted := &Copy{}
	restricted.Take(restrict(a.cfg.Services, a.copy.Read(0, nil))) // an empty copy takes every answer
	a.cfg.Log.Info("scope changed", "was", before, "services", a.cfg.Services, "items", restricted.Len(), "were", a.copy.Len())
	a.copy = restricted
	if widened(a.cfg.Services, before) {
		a.again[everything] = true
	}
	a.persist()
}

// tookWhole follows a whole answer, taken at the revision before where that is the copy's. The caller holds mu.
func (a *Agent) tookWhole(changed bool, before uint64) {
	a.whole = false
	if changed && before == a.copy.Revision || a.unread { // the node may be at this revision with other content
		a.again[everything] = true
	}
	if changed || a.unread {
		a.rebase = true
		notify(a.dirty)
	}
	a.unread = false
}

// save writes the copy to disk after changes.
func (a *Agent) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.dirty:
		}
		if a.persist() {
			pause(ctx, savePause)
			continue
		}
		notify(a.dirty)
		pause(ctx, saveRetry)
	}
}

// persist writes what has changed since the last write, or everything, and says whether the disk is as it should be. A copy
// that can't be written is taken away: an agent that comes back without one sends its node nothing before the node is counted,
// but one with an old copy would send it quotas that were larger.
func (a *Agent) persist() bool {
	since := a.disk.since()
	a.mu.Lock()
	if !a.counted {
		a.mu.Unlock()
		return true
	}
	if a.rebase {
		since = 0
	}
	a.rebase = false
	in, unread := a.copy.Read(since, nil), a.unread
	a.mu.Unlock()
	if !in.Full && in.Revision == since {
		return true
	}
	written, err := a.disk.save(in, unread)
	a.m.written.Add(float64(written))
	if err != nil {
		a.m.saveErrors.Inc()
		a.cfg.Log.Error("durable copy not written", "revision", in.Revision, "err", err)
		if errors.Is(err, errNewer) || errors.Is(err, errReplaced) || a.disk.remove() != nil {
			return false
		}
	}
	a.mu.Lock()
	a.saved = max(a.saved, in.Revision)
	a.mu.Unlock()
	return true
}
