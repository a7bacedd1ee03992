package lab

import (
	"strings"
	"time"

	"starlingvalve/internal/invariants"
)

func (f *fleet) excuse(node int, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, on := f.open[key]; !on {
		f.open[key] = f.rec.Since()
		f.recs.Excuses = append(f.recs.Excuses, invariants.Excuse{Node: node, From: f.rec.Since(), To: -1, Why: key})
	}
}

// closeExcuses ends the open windows whose key starts with prefix (all at the end), after the front's notice and
// the longest wait of a client.
func (f *fleet) closeExcuse(prefix string, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tail := seconds(f.s.Fleet.NoticeS) + 3*time.Second
	for key := range f.open {
		if !strings.HasPrefix(key, prefix) {
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
