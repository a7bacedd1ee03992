package agent

import (
	"context"
	"errors"
	"slices"
	"time"
)

const (
	saveInterval   = 50 * time.Millisecond // between two saves
	saveRetryDelay = time.Second           // after a save that left the file in an unknown state
)

// openCopy reads the durable copy. It rejects, counts and logs a damaged copy, and the agent starts without one. A copy of another
// scope is served as far as it covers the present scope; if the present scope has a service that the copy lacks, a complete read follows.
func (a *Agent) openCopy() {
	f, stored, err := openCopyFile(a.cfg.Dir, a.cfg.Node, a.cfg.Services)
	if err != nil {
		a.metrics.copiesRejected.Inc()
		a.cfg.Log.Error("durable copy rejected", "err", err)
	}
	if stored.truncated {
		a.cfg.Log.Warn("durable copy: truncated last record dropped", "revision", stored.copy.Revision)
	}
	a.copyFile, a.copy = f, stored.copy
	a.joined, a.savedRevision = a.copy.Revision > 0, a.copy.Revision // only the copy of a node that was counted is saved
	a.scopeIncomplete = stored.incomplete || isWidened(stored.services, a.cfg.Services) || a.copy.Revision == 0 && len(a.cfg.Services) > 0
	a.fetchAll = a.scopeIncomplete
	if a.copy.Revision > 0 && !slices.Equal(stored.services, a.cfg.Services) {
		a.changeScope(stored.services)
	}
}

// changeScope restricts the copy to the present scope and saves it before the node is sent any of it, so that the next start detects
// a further change of scope. The node is sent every item if it may hold items that are no longer in scope.
func (a *Agent) changeScope(before []string) {
	restricted := &IntentCopy{}
	restricted.Apply(restrictToScope(a.cfg.Services, a.copy.Read(0, nil))) // an empty copy accepts every answer
	a.cfg.Log.Info("scope changed", "was", before, "services", a.cfg.Services, "items", restricted.Len(), "were", a.copy.Len())
	a.copy = restricted
	if isWidened(a.cfg.Services, before) {
		a.resendKeys[allItems] = true
	}
	a.saveCopy()
}

// markCompleteApplied updates the agent's state after a complete answer. The copy had revisionBefore until then. The caller holds mu.
func (a *Agent) markCompleteApplied(changed bool, revisionBefore uint64) {
	a.fetchAll = false
	if changed && revisionBefore == a.copy.Revision || a.scopeIncomplete { // the node may be at this revision with other content
		a.resendKeys[allItems] = true
	}
	if changed || a.scopeIncomplete {
		a.saveAll = true
		signal(a.dirty)
	}
	a.scopeIncomplete = false
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

// saveCopy writes the changes since the last write, or everything, and reports whether the file is as it should be. If the copy can't
// be written it is removed: an agent that restarts without a copy sends its node nothing before the node is counted, but one that
// restarts with an old copy would send it the larger quotas of that time.
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
	in, incomplete := a.copy.Read(since, nil), a.scopeIncomplete
	a.mu.Unlock()
	if !in.Full && in.Revision == since {
		return true
	}
	written, err := a.copyFile.save(in, incomplete)
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
