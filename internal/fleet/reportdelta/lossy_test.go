package reportdelta

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
)

// message is a report on the wire: whole, or as a difference.
type message struct {
	whole      []byte
	difference []byte
}

// world is one node, its agent's end of the link, the leader's end, and the messages that were delayed.
type world struct {
	draw   func(n int) int // a choice below n
	forget bool            // planted: differences forget the rows removed, and have the digest of what that gives

	node    fleet.Report
	raw     []byte                  // the node\'s newest report
	made    map[string]fleet.Report // all that the node made, by incarnation and seq
	sender  Sender
	leader  Bases
	old     bool              // the leader is of the build before
	out     bool              // the run has no session
	has     fleet.Report      // what the leader has as the node's report
	acked   map[uint64]uint64 // newest seq acknowledged, by incarnation, in this leadership
	late    []message         // delayed, to come again or out of order
	taken   map[string]int    // by kind
	refused map[string]int    // by reason
}

func newWorld(draw func(n int) int) *world {
	w := &world{draw: draw, made: map[string]fleet.Report{}, acked: map[uint64]uint64{}, taken: map[string]int{}, refused: map[string]int{}}
	w.node = fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: 1}, AppliedRoot: "00", ListRoot: "00"}
	return w
}

func name(r fleet.Report) string { return fmt.Sprint(r.Incarnation, "/", r.Sequence) }

// next has the node make a report: rows come, change and go.
func (w *world) next() fleet.Report {
	n := &w.node
	n.Sequence++
	n.Tenants = slices.Clone(n.Tenants)
	n.Zones = slices.Clone(n.Zones)
	n.Applied = slices.Clone(n.Applied)
	for range w.draw(5) {
		key := fmt.Sprint("t", w.draw(8))
		i := slices.IndexFunc(n.Tenants, func(t fleet.TenantAck) bool { return t.Name == key })
		switch {
		case i < 0:
			n.Tenants = append(n.Tenants, fleet.TenantAck{Name: key, UID: uint64(w.draw(9))})
		case w.draw(4) == 0:
			n.Tenants = slices.Delete(n.Tenants, i, i+1)
		case w.draw(3) == 0:
			n.Tenants[i].Committed++
		default:
			n.Tenants[i].Offered, n.Tenants[i].Open = float64(w.draw(3))/3, w.draw(3)
		}
	}
	if w.draw(3) == 0 {
		n.Zones = nil
		for i := range w.draw(3) {
			n.Zones = append(n.Zones, fleet.ZoneEvidence{Zone: fmt.Sprint("z", i), Attempts: w.draw(3)})
		}
		n.Applied = nil
		for i := range w.draw(3) {
			n.Applied = append(n.Applied, fleet.AppliedItem{Key: fmt.Sprint("~", i), Digest: "aa", Body: json.RawMessage(fmt.Sprintf(`{"a": "<%d>"}`, w.draw(3)))})
		}
	}
	n.Ready = w.draw(2) == 0
	w.raw, _ = json.Marshal(*n) // as the agent reads it, and hands it on whole
	r, err := fleet.DecodeReport(w.raw)
	if err != nil {
		panic(err)
	}
	return Normalize(r)
}

// encode is the agent's: the difference where there is one.
func (w *world) encode(r fleet.Report) message {
	d, ok := w.sender.Delta(r)
	if !ok {
		return message{whole: w.raw}
	}
	if w.forget {
		d.ZonesRemoved = nil
		d.TenantsRemoved = nil
		d.AppliedRemoved = nil
		if base, err := w.leader.Find(&d); err == nil {
			d.Digest = digestAsApplied(base, d)
		}
	}
	raw, _ := Encode(d)
	return message{difference: raw}
}

// digestAsApplied is the digest that a difference gives, right or wrong.
func digestAsApplied(base fleet.Report, d Delta) string {
	r := d.Head
	r.Services = base.Services
	r.Zones, _ = mergeRows(base.Zones, zoneKey, d.Zones, d.ZonesRemoved)
	tenants, _ := applyLoads(base.Tenants, d.Loads)
	r.Tenants, _ = mergeRows(tenants, tenantKey, d.Tenants, d.TenantsRemoved)
	r.Applied, _ = mergeRows(base.Applied, appliedKey, d.Applied, d.AppliedRemoved)
	return Digest(r)
}

// handle is the leader's: what it takes, and its answer. ok is false where there is no answer at all (404, 400).
func (w *world) handle(m message) (ans fleet.ReportAnswer, ok bool, err error) {
	r, baseSeq := fleet.Report{}, uint64(0)
	if m.difference != nil {
		if w.old {
			return ans, false, nil
		}
		d, err := Decode(m.difference)
		if err != nil {
			w.refused[MetricReason(err)]++
			return ans, false, nil
		}
		base, err := w.leader.Find(&d)
		if err == nil {
			r, err = Apply(base, d)
		}
		if err != nil {
			w.refused[MetricReason(err)]++
			return fleet.ReportAnswer{SendComplete: true}, true, nil
		}
		baseSeq = d.BaseSequence
	} else {
		if r, err = fleet.DecodeReport(m.whole); err != nil {
			return ans, false, nil
		}
		r = Normalize(r)
	}
	if r.Incarnation < w.has.Incarnation || r.Incarnation == w.has.Incarnation && r.Sequence < w.has.Sequence {
		return ans, false, nil // the controller rejects older ones
	}
	if made := w.made[name(r)]; Digest(made) != Digest(r) {
		return ans, false, fmt.Errorf("the leader takes a report that the node never made: %s: %s", name(r), same(made, r))
	}
	if r.Sequence < w.acked[r.Incarnation] {
		return ans, false, fmt.Errorf("the leader has report %d, older than %d, which it acknowledged", r.Sequence, w.acked[r.Incarnation])
	}
	w.has = r
	w.taken[map[bool]string{true: "difference", false: "whole"}[m.difference != nil]]++
	if !w.old && !w.out {
		ans.AckSequence = w.leader.Keep(r, baseSeq)
		w.acked[r.Incarnation] = ans.AckSequence
	}
	return ans, true, nil
}

// deliver has the agent send a report over a link with faults; a request for the complete report is followed at once.
func (w *world) deliver(r fleet.Report, fault int) error {
	for attempt := range 2 {
		m := w.encode(r)
		switch fault {
		case 1: // lost
			return nil
		case 2: // delayed: it comes later, or never
			w.late = append(w.late, m)
			return nil
		case 3: // repeated: once now, once more later
			w.late = append(w.late, m)
		case 4: // cut short
			if m.difference != nil {
				m.difference = m.difference[:w.draw(len(m.difference))]
			}
		}
		ans, ok, err := w.handle(m)
		if err != nil {
			return err
		}
		if fault == 5 { // the answer is lost
			return nil
		}
		switch {
		case !ok && m.difference != nil, ans.SendComplete:
			if attempt > 0 {
				return errors.New("a whole report wished for twice")
			}
			w.sender.Forget()
			continue
		case ok:
			w.sender.Acknowledged(r, ans.AckSequence)
		}
		return nil
	}
	return nil
}

// step is one thing that happens.
func (w *world) step() error {
	switch w.draw(12) {
	case 0:
		switch w.draw(5) {
		case 0: // another leader, perhaps of the build before
			w.leader, w.acked, w.has, w.old = Bases{}, map[uint64]uint64{}, fleet.Report{}, w.draw(3) == 0
		case 1: // the agent is started again
			w.sender = Sender{}
		case 2: // the node is started again
			w.node.Incarnation++
			w.node.Sequence = 0
		case 3: // the session ends, or is held again
			if w.out = !w.out; w.out {
				w.leader.Retain(func(fleet.Member) bool { return false })
			}
		case 4:
			w.late = nil
		}
		return nil
	case 1, 2: // a delayed message comes, whatever came since
		if len(w.late) > 0 {
			_, _, err := w.handle(w.late[w.draw(len(w.late))])
			return err
		}
		return nil
	}
	r := w.next()
	w.made[name(r)] = r
	return w.deliver(r, w.draw(10))
}

// settle sends two reports over a link without faults: both are taken, the second of them as a difference.
func (w *world) settle() error {
	w.late = nil
	w.out = false
	w.old = false
	for range 2 {
		r := w.next()
		w.made[name(r)] = r
		before := w.taken["difference"]
		if err := w.deliver(r, 0); err != nil {
			return err
		}
		if name(w.has) != name(r) {
			return fmt.Errorf("the leader has %s, the node is at %s", name(w.has), name(r))
		}
		if w.sender.base.Sequence != r.Sequence || w.sender.hasBase && w.leader.Len() != 1 {
			return fmt.Errorf("report %d is not acknowledged (%d differences before)", r.Sequence, before)
		}
	}
	return nil
}

// What the leader has as the node's report is always one that the node made, and none older than one it acknowledged, over a
// link that loses, repeats, reorders and cuts short, over restarts of node and agent and changes of the leader.
func TestLossyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 60 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.settle(); err != nil {
			t.Fatal(err)
		}
	})
}

// run runs a seed to its first error.
func run(seed uint64, forget bool) (*world, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(random.IntN)
	w.forget = forget
	for range 200 {
		if err := w.step(); err != nil {
			return w, err
		}
	}
	return w, w.settle()
}

// The schedules reach what they are for, and a planted difference that forgets the rows removed is caught by them, where the digest
// does not catch it before.
func TestPlantedDifferenceThatForgetsRows(t *testing.T) {
	sum, caught := map[string]int{}, 0
	for seed := range uint64(20) {
		w, err := run(seed, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for k, n := range w.taken {
			sum[k] += n
		}
		for k, n := range w.refused {
			sum["refused "+k] += n
		}
		if _, err := run(seed, true); err != nil {
			caught++
		}
	}
	t.Logf("20 seeds: %v; planted and caught: %d", sum, caught)
	for _, k := range []string{"whole", "difference", "refused base", "refused invalid"} {
		if sum[k] == 0 {
			t.Errorf("never: %s", k)
		}
	}
	if caught != 20 {
		t.Errorf("the planted fault was caught in %d of 20 seeds", caught)
	}
}
