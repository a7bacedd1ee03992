package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// clock is the clock of one machine: it reads offset + rate times the real time.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(real time.Duration) time.Duration {
	return c.offset + time.Duration(c.rate*float64(real))
}

// realDuration returns the real time that passes while the clock advances by d.
func (c clock) realDuration(d time.Duration) time.Duration { return time.Duration(float64(d) / c.rate) }

func newClock(r *rand.Rand) clock {
	return clock{offset: time.Duration(r.Int64N(int64(10 * time.Second))), rate: 0.99 + 0.02*r.Float64()}
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

// after schedules do for d of real time from now.
func (s *Sim) after(d time.Duration, do func()) {
	s.events++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.events, do})
}

// deliver delivers one message between node i and the control plane: delayed, duplicated or not at all. Later messages may
// overtake it.
func (s *Sim) deliver(i int, arrive func()) {
	d := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(s.plan.Jitter)+1))
	lost := s.random.Float64() < s.plan.Loss
	for _, f := range s.plan.Faults {
		if !f.isActive(s.now) || !f.affects(i) {
			continue
		}
		switch f.Kind {
		case Disconnected:
			lost = true
		case Slow:
			d += time.Duration(s.random.Int64N(int64(time.Second)))
		case Duplicated:
			s.after(d+time.Duration(s.random.Int64N(int64(2*time.Second))), arrive)
		}
	}
	if !lost {
		s.after(d, arrive)
	}
}

// Breach is a violation of a rule.
type Breach struct {
	Rule   string        `json:"rule"`
	Time   time.Duration `json:"at"`
	Detail string        `json:"what"`
}

func (b *Breach) Error() string { return fmt.Sprintf("%s at %v: %s", b.Rule, b.Time, b.Detail) }

// recordBreach records the run's first breach, which ends the run.
func (s *Sim) recordBreach(rule, format string, args ...any) {
	if s.breach == nil {
		s.breach = &Breach{rule, s.now, fmt.Sprintf(format, args...)}
	}
}
