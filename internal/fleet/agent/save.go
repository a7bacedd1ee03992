package agent

import (
	"context"
	"errors"
	"slices"
	"time"
)

const (
	saveInterval   = 50 * time.Millisecond // between two saves
	saveRetryDelay = time.Second           // after one that left nothing certain on disk
)

// openCopy reads the durable copy. One that is damaged is rejected, counted and logged, and the agent starts without. One of another
// scope is served as far as it goes; where the scope has a service that it lacks, a complete read is due.
func (a *Agent) openCopy() {
	d, stored, err := openCopyFile(a.cfg.Dir, a.cfg.Node, a.cfg.Services)
	if err != nil {
		a.metrics.copiesRejected.Inc()
		a.cfg.Log.Error("durable copy rejected", "err", err)
	}
	if stored.truncated {
		a.cfg.Log.Warn("durable copy: truncated last record dropped", "revision", stored.copy.Revision)
	}
	a.copyFile, a.copy = d, stored.copy
	a.joined, a.savedRevision = a.copy.Revision > 0, a.copy.Revision // a copy is kept only of a node that was counted
	a.scopeUnread = stored.incomplete || isWidened(stored.services, a.cfg.Services) || a.copy.Revision == 0 && len(a.cfg.Services) > 0
	a.fetchAll = a.scopeUnread
	if a.copy.Revision > 0 && !slices.Equal(stored.services, a.cfg.Services) {
		a.changeScope(stored.services)
	}
}

// changeScope leaves in the copy what is in the new scope, and writes it before the node is sent any of it: a further change of
// scope is then seen at the next start. The node is sent everything where it may hold what is no longer in scope.
func (a *Agent) changeScope(before []string) {
	restricted := &IntentCopy{}
	restricted.Apply(restrictToScope(a.cfg.Services, a.copy.Read(0, nil))) // an empty copy takes every answer
	a.cfg.Log.Info("scope changed", "was", before, "services", a.cfg.Services, "items", restricted.Len(), "were", a.copy.Len())
	a.copy = restricted
	if isWidened(a.cfg.Services, before) {
		a.resendKeys[allItems] = true
	}
	a.saveCopy()
}

// appliedComplete follows a complete answer, taken at the revision before where that is the copy's. The caller holds mu.
func (a *Agent) appliedComplete(changed bool, before uint64) {
	a.fetchAll = false
	if changed && before == a.copy.Revision || a.scopeUnread { // the node may be at this revision with other content
		a.resendKeys[allItems] = true
	}
	if changed || a.scopeUnread {
		a.saveAll = true
		signal(a.dirty)
	}
	a.scopeUnread = false
}

// save writes the copy to disk after changes.
func (a *Agent) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.dirty:
		}
		if a.saveCopy() {
			sleep(ctx, saveInterval)
			continue
		}
		signal(a.dirty)
		sleep(ctx, saveRetryDelay)
	}
}

// saveCopy writes what has changed since the last write, or everything, and reports whether the disk is as it should be. A copy
// that can't be written is taken away: an agent that comes back without one sends its node nothing before the node is counted,
// but one with an old copy would send it quotas that were larger.
func (a *Agent) saveCopy() bool {
	since := a.copyFile.deltaSince()
	a.mu.Lock()
	if !a.joined {
		a.mu.Unlock()
		return true
	}
	if a.saveAll {
		since = 0
	}
	a.saveAll = false
	in, unread := a.copy.Read(since, nil), a.scopeUnread
	a.mu.Unlock()
	if !in.Full && in.Revision == since {
		return true
	}
	written, err := a.copyFile.save(in, unread)
	a.metrics.bytesWritten.Add(float64(written))
	if err != nil {
		a.metrics.saveErrors.Inc()
		a.cfg.Log.Error("durable copy not written", "revision", in.Revision, "err", err)
		if errors.Is(err, errNewerOnDisk) || errors.Is(err, errFileReplaced) || a.copyFile.remove() != nil {
			return false
		}
	}
	a.mu.Lock()
	a.savedRevision = max(a.savedRevision, in.Revision)
	a.mu.Unlock()
	return true
}
