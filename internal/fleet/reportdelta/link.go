package reportdelta

import (
	"errors"
	"fmt"

	"meadowsill/internal/fleet"
)

// Sender is the agent's end: the newest report that the leader has acknowledged. It is not safe for concurrent use.
type Sender struct {
	base  fleet.Report
	known bool // there is a base
}

// Difference gives next as a difference; ok is false where it is to be sent whole: nothing is acknowledged, or by another run.
func (s *Sender) Difference(next fleet.Report) (d Difference, ok bool) {
	if !s.known || next.Sequence <= s.base.Sequence {
		return Difference{}, false
	}
	d, err := Diff(s.base, next)
	return d, err == nil
}

// Acknowledged takes the ack_seq of the answer to a report. A leader that does not acknowledge it (one of the build before,
// or one at which the run has no session) is sent whole reports.
func (s *Sender) Acknowledged(sent fleet.Report, ackSeq uint64) {
	if ackSeq == 0 || ackSeq != sent.Sequence {
		s.Forget()
		return
	}
	s.base, s.known = sent, true
}

// Forget has the next report sent whole.
func (s *Sender) Forget() { *s = Sender{} }

// Bases is the leader's end: for each present node the newest report it acknowledged, and the one that this followed, as
// the answer may not have come to the agent. It is not safe for concurrent use.
type Bases struct {
	nodes map[string]bases
}

type bases struct {
	newest, before fleet.Report
}

// Find gives the base of a difference, or ErrBase.
func (b *Bases) Find(d *Difference) (fleet.Report, error) {
	if held, ok := b.nodes[d.Head.Node]; ok {
		for _, base := range []fleet.Report{held.newest, held.before} {
			if base.Member == d.Head.Member && base.Sequence == d.BaseSeq {
				return base, nil
			}
		}
	}
	return fleet.Report{}, fmt.Errorf("%w: report %d of incarnation %d", ErrBase, d.BaseSeq, d.Head.Incarnation)
}

// Keep notes that r, a normalized report which followed the report baseSeq (0: it came whole), is acknowledged, and gives the
// answer's ack_seq: 0 where a newer one is, as r is no base then.
func (b *Bases) Keep(r fleet.Report, baseSeq uint64) (ackSeq uint64) {
	held, ok := b.nodes[r.Node]
	if ok && (held.newest.Incarnation > r.Incarnation || held.newest.Incarnation == r.Incarnation && held.newest.Sequence > r.Sequence) {
		return 0
	}
	if ok && held.newest.Member == r.Member && held.newest.Sequence == r.Sequence {
		return r.Sequence // once more, as the answer was lost
	}
	next := bases{newest: r}
	for _, base := range []fleet.Report{held.newest, held.before} {
		if baseSeq != 0 && base.Member == r.Member && base.Sequence == baseSeq {
			next.before = base
		}
	}
	if b.nodes == nil {
		b.nodes = map[string]bases{}
	}
	b.nodes[r.Node] = next
	return r.Sequence
}

// Retain forgets the runs that are not present.
func (b *Bases) Retain(present func(fleet.Member) bool) {
	for node, held := range b.nodes {
		if !present(held.newest.Member) {
			delete(b.nodes, node)
		}
	}
}

// Nodes is how many nodes there is a base of.
func (b *Bases) Nodes() int { return len(b.nodes) }

// Reason names an error of Find or Apply in a word, for metrics.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrBase):
		return "base"
	case errors.Is(err, ErrRows):
		return "rows"
	case errors.Is(err, ErrDigest):
		return "digest"
	}
	return "invalid"
}
