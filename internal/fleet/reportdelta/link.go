package reportdelta

import (
	"errors"
	"fmt"

	"meadowsill/internal/fleet"
)

// Sender is the agent's end of the link. It keeps the newest report that the leader has acknowledged. It is not safe for concurrent use.
type Sender struct {
	base    fleet.Report
	hasBase bool // base is set
}

// Delta returns next as a delta. ok is false if next must be sent complete: no earlier report of this
// incarnation has been acknowledged.
func (s *Sender) Delta(next fleet.Report) (d Delta, ok bool) {
	if !s.hasBase || next.Sequence <= s.base.Sequence {
		return Delta{}, false
	}
	d, err := Diff(s.base, next)
	return d, err == nil
}

// Acknowledged applies the ack_seq of the answer to a report. If the leader does not acknowledge the report (because it runs the
// previous build, or because the node's incarnation has no session there), the next report is sent complete.
func (s *Sender) Acknowledged(sent fleet.Report, ackSeq uint64) {
	if ackSeq == 0 || ackSeq != sent.Sequence {
		s.Forget()
		return
	}
	s.base, s.hasBase = sent, true
}

// Forget drops the base, so that the next report is sent complete.
func (s *Sender) Forget() { *s = Sender{} }

// Bases is the leader's end of the link. For each present node it keeps the newest report that it acknowledged and the base of that
// report, because the acknowledgement may not have reached the agent. It is not safe for concurrent use.
type Bases struct {
	nodes map[string]nodeBases
}

type nodeBases struct {
	newest   fleet.Report
	previous fleet.Report
}

// Find returns the base of a delta, or ErrUnknownBase.
func (b *Bases) Find(d *Delta) (fleet.Report, error) {
	if bases, ok := b.nodes[d.Head.Node]; ok {
		for _, base := range []fleet.Report{bases.newest, bases.previous} {
			if base.Member == d.Head.Member && base.Sequence == d.BaseSequence {
				return base, nil
			}
		}
	}
	return fleet.Report{}, fmt.Errorf("%w: report %d of incarnation %d", ErrUnknownBase, d.BaseSequence, d.Head.Incarnation)
}

// Keep records that r, a normalized report, is acknowledged, and returns the answer's ack_seq. baseSeq is the sequence number of r's
// base, or 0 if r came complete. The ack_seq is 0 if a newer report is already acknowledged, because r can't be a base then.
func (b *Bases) Keep(r fleet.Report, baseSeq uint64) (ackSeq uint64) {
	current, ok := b.nodes[r.Node]
	if ok && (current.newest.Incarnation > r.Incarnation || current.newest.Incarnation == r.Incarnation && current.newest.Sequence > r.Sequence) {
		return 0
	}
	if ok && current.newest.Member == r.Member && current.newest.Sequence == r.Sequence {
		return r.Sequence // the report was repeated because its answer was lost
	}
	next := nodeBases{newest: r}
	for _, base := range []fleet.Report{current.newest, current.previous} {
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

// Retain drops the bases of incarnations that are not present.
func (b *Bases) Retain(present func(fleet.Member) bool) {
	for node, bases := range b.nodes {
		if !present(bases.newest.Member) {
			delete(b.nodes, node)
		}
	}
}

// Len returns the number of nodes that have a base.
func (b *Bases) Len() int { return len(b.nodes) }

// MetricReason returns the metric label for an error of Find or Apply.
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
