package lab

import (
	"strings"
	"time"

	"starlingvalve/internal/invariants"
)

// excuse opens a window, unless it is open, in which node (-1: every one) may break rule ("": any of those that
// know excuses) through the fault that key names.
func (f *fleet) excuse(node int, rule, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, on := f.open[key]; !on {
		f.open[key] = f.rec.Since()
		f.recs.Excuses = append(f.recs.Excuses, invariants.Excuse{Node: node, Rule: rule, From: f.rec.Since(), To: -1, Why: key})
	}
}

// closeExcuse ends the open window of that key, or those that begin with it where it ends in a space (all for ""),
// after the front's notice and the longest wait of a client.
func (f *fleet) closeExcuse(name string, at time.Duration) {
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
				e.To = at + tail
			}
		}
	}
}

func (f *fleet) closeExcuses(at time.Duration) { f.closeExcuse("", at) }

// drain is what the front does about a node told to end: see docs/lab.md, "Drains".
func (f *fleet) drain(n *node) {
	f.excuse(n.i, "", "down "+n.info.Name)
	f.leaveFront(n, seconds(f.s.Fleet.NoticeS))
}
