package reportdelta

import (
	"errors"
	"fmt"

	"meadowsill/internal/fleet"
)

// Sender is the agent's end: the newest report that the leader has acknowledged. It is not safe for concurrent use.
type Sender struct {
	base    fleet.Report
	hasBase bool // there is a base
}

// Delta returns next as a difference; ok is false where it is to be sent complete: nothing is acknowledged, or by another run.
func (s *Sender) Delta(next fleet.Report) (d Delta, ok bool) {
	if !s.hasBase || next.Sequence <= s.base.Sequence {
		return Delta{}, false
	}
	d, err := Diff(s.base, next)
	return d, err == nil
}

// Acknowledged takes the ack_seq of the answer to a report. A leader that does not acknowledge it (one of the build before,
// or one at which the run has no session) is sent complete reports.
func (s *Sender) Acknowledged(sent fleet.Report, ackSeq uint64) {
	if ackSeq == 0 || ackSeq != sent.Sequence {
		s.Forget()
		return
	}
	s.base, s.hasBase = sent, true
}

// Forget has the next report sent complete.
func (s *Sender) Forget() { *s = Sender{} }

// Bases is the leader's end: for each present node the newest report it acknowledged, and the one that this followed, as
// the answer may not have come to the agent. It is not safe for concurrent use.
type Bases struct {
	nodes map[string]nodeBases
}

type nodeBases struct {
	newest   fleet.Report
	previous fleet.Report
}

// Find returns the base of a difference, or ErrUnknownBase.
func (b *Bases) Find(d *Delta) (fleet.Report, error) {
	if held, ok := b.nodes[d.Head.Node]; ok {
		for _, base := range []fleet.Report{held.newest, held.previous} {
			if base.Member == d.Head.Member && base.Sequence == d.BaseSequence {
				return base, nil
			}
		}
	}
	return fleet.Report{}, fmt.Errorf("%w: report %d of incarnation %d", ErrUnknownBase, d.BaseSequence, d.Head.Incarnation)
}

// Keep notes that r, a normalized report which followed the report baseSeq (0: it came complete), is acknowledged, and gives the
// answer's ack_seq: 0 where a newer one is, as r is no base then.
func (b *Bases) Keep(r fleet.Report, baseSeq uint64) (ackSeq uint64) {
	held, ok := b.nodes[r.Node]
	if ok && (held.newest.Incarnation > r.Incarnation || held.newest.Incarnation == r.Incarnation && held.newest.Sequence > r.Sequence) {
		return 0
	}
	if ok && held.newest.Member == r.Member && held.newest.Sequence == r.Sequence {
		return r.Sequence // once more, as the answer was lost
	}
	next := nodeBases{newest: r}
	for _, base := range []fleet.Report{held.newest, held.previous} {
		if baseSeq != 0 && base.Member == r.Member && base.Sequence == baseSeq {
			next.previous = base
		}
	}
	if b.nodes == nil {
		b.nodes = map[string]nodeBases{}
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

// Len is how many nodes there is a base of.
func (b *Bases) Len() int { return len(b.nodes) }

// MetricReason names an error of Find or Apply in a word, for metrics.
func MetricReason(err error) string {
	switch {
	case errors.Is(err, ErrUnknownBase):
		return "base"
	case errors.Is(err, ErrRowMismatch):
		return "rows"
	case errors.Is(err, ErrDigestMismatch):
		return "digest"
	}
	return "invalid"
}
