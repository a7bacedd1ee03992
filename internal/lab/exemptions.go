package lab

import (
	"strings"
	"time"

	"meadowsill/internal/invariants"
)

// exempt opens a window in which a node (-1: every node) may break a rule ("": any rule that has exemptions) because of the
// fault that key names. It does nothing if the window of this key is open already.
func (f *fleet) exempt(node int, rule, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, on := f.openExemptions[key]; !on {
		f.openExemptions[key] = f.recorder.Since()
		f.records.Excuses = append(f.records.Excuses, invariants.Exemption{Node: node, Rule: rule, From: f.recorder.Since(), To: -1, Why: key})
	}
}

// endExemption ends the open window whose key is name. A name that ends in a space ends all windows whose keys begin with it,
// and "" ends all windows. at is when the fault ended; a window extends past it by the front's notice time plus 3 s, the longest
// time that a client waits.
func (f *fleet) endExemption(name string, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tail := seconds(f.s.Fleet.NoticeS) + 3*time.Second
	for key := range f.openExemptions {
		if key != name && name != "" && !(strings.HasSuffix(name, " ") && strings.HasPrefix(key, name)) {
			continue
		}
		delete(f.openExemptions, key)
		for i := range f.records.Excuses {
			if e := &f.records.Excuses[i]; e.To == -1 && e.Why == key {
				e.To, e.Back = at+tail, at
			}
		}
	}
}

func (f *fleet) endExemptions(at time.Duration) { f.endExemption("", at) }

// Times of a planned restart, as in PROTOCOL. After SIGTERM the front routes new connections to the node for another 0.2 to
// 0.4 s, and clients keep using the connections that stay open. SIGKILL follows no earlier than the longest deadline, or 3 s,
// plus 0.7 s after SIGTERM.
const (
	newConnsAfterTerm = 300 * time.Millisecond
	drainTime         = 3700 * time.Millisecond
)

// drainAtFront does what the front does about a node that was sent SIGTERM: it stops new connections after newConnsAfterTerm
// and removes the node once its process has ended. It opens no exemption for requests that the node loses.
func (f *fleet) drainAtFront(n *node) {
	incarnation := n.ended()
	if n.wait(0) {
		return
	}
	n.termAt.Store(int64(f.recorder.Since()))
	time.AfterFunc(newConnsAfterTerm, func() {
		if n.ended() == incarnation {
			n.getsNewConns.Store(false)
		}
	})
	f.wg.Go(func() {
		<-incarnation
		n.inFront.Store(false)
	})
}

// drainTimeOver reports whether drainTime has passed since the node was sent SIGTERM. Requests lost to a SIGKILL after that time
// count as lost by the node.
func (f *fleet) drainTimeOver(n *node) bool {
	at := n.termAt.Load()
	return at != 0 && f.recorder.Since()-time.Duration(at) >= drainTime
}
