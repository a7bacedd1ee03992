package lab

import (
	"strings"
	"time"

	"meadowsill/internal/invariants"
)

// exempt opens a window, unless it is open, in which node (-1: every one) may break rule ("": any of those that
// know exemptions) through the fault that key names.
func (f *fleet) exempt(node int, rule, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, on := f.open[key]; !on {
		f.open[key] = f.rec.Since()
		f.recs.Excuses = append(f.recs.Excuses, invariants.Exemption{Node: node, Rule: rule, From: f.rec.Since(), To: -1, Why: key})
	}
}

// endExemption ends the open window of that key, or those that begin with it where it ends in a space (all for ""),
// after the front's notice and the longest wait of a client.
func (f *fleet) endExemption(name string, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tail := seconds(f.s.Fleet.NoticeS) + 3*time.Second
	for key := range f.open {
		if key != name && name != "" && !(strings.HasSuffix(name, " ") && strings.HasPrefix(key, name)) {
			continue
		}
		delete(f.open, key)
		for i := range f.recs.Excuses {
			if e := &f.recs.Excuses[i]; e.To == -1 && e.Why == key {
				e.To, e.Back = at+tail, at
			}
		}
	}
}

func (f *fleet) endExemptions(at time.Duration) { f.endExemption("", at) }

// The front at a planned restart, as PROTOCOL has it: new connections go on coming for 0.2 to 0.4 s after SIGTERM; clients go
// on using those that stay open. SIGKILL comes no sooner than the longest deadline, or 3 s, and 0.7 s more.
const (
	dealtAfterTerm = 300 * time.Millisecond
	drainTime      = 3700 * time.Millisecond
)

// drain is what the front does about a node that was sent SIGTERM. Nothing that the node loses is excused.
func (f *fleet) drain(n *node) {
	incarnation := n.ended()
	if n.wait(0) {
		return
	}
	n.termAt.Store(int64(f.rec.Since()))
	time.AfterFunc(dealtAfterTerm, func() {
		if n.ended() == incarnation {
			n.dealt.Store(false)
		}
	})
	f.wg.Go(func() {
		<-incarnation
		n.inFront.Store(false)
	})
}

// drained says whether the node has had its time since SIGTERM: what a kill then finds is lost by the node.
func (f *fleet) drained(n *node) bool {
	at := n.termAt.Load()
	return at != 0 && f.rec.Since()-time.Duration(at) >= drainTime
}
