package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// clock is one machine's: it reads off + rate times the real time.
type clock struct {
	off  time.Duration
	rate float64
}

func (c clock) read(real time.Duration) time.Duration {
	return c.off + time.Duration(c.rate*float64(real))
}

// lasts is how long in real time a machine takes to count d.
func (c clock) lasts(d time.Duration) time.Duration { return time.Duration(float64(d) / c.rate) }

func newClock(r *rand.Rand) clock {
	return clock{off: time.Duration(r.Int64N(int64(10 * time.Second))), rate: 0.99 + 0.02*r.Float64()}
}

type event struct {
	due    time.Duration
	order  int
	action func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after does something d of real time from now.
func (s *Sim) after(d time.Duration, do func()) {
	s.events++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.events, do})
}

// link carries one message of node i's to or from the control plane: late, twice or never. Later ones may overtake it.
func (s *Sim) link(i int, arrive func()) {
	d := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(s.plan.Jitter)+1))
	lost := s.random.Float64() < s.plan.Loss
	for _, f := range s.plan.Faults {
		if !f.isActive(s.now) || !f.hits(i) {
			continue
		}
		switch f.Kind {
		case Deaf:
			lost = true
		case Slow:
			d += time.Duration(s.random.Int64N(int64(time.Second)))
		case Twice:
			s.after(d+time.Duration(s.random.Int64N(int64(2*time.Second))), arrive)
		}
	}
	if !lost {
		s.after(d, arrive)
	}
}

// Breach is a rule that was broken.
type Breach struct {
	Rule   string        `json:"rule"`
	Time   time.Duration `json:"at"`
	Detail string        `json:"what"`
}

func (b *Breach) Error() string { return fmt.Sprintf("%s at %v: %s", b.Rule, b.Time, b.Detail) }

// recordBreach notes the first breach, which ends the run.
func (s *Sim) recordBreach(rule, format string, args ...any) {
	if s.breach == nil {
		s.breach = &Breach{rule, s.now, fmt.Sprintf(format, args...)}
	}
}
