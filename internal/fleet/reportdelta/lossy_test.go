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

// message is an encoded report: a complete one or a delta.
type message struct {
	complete []byte
	delta    []byte
}

// linkModel has one node, the agent's and the leader's ends of the link, and the delayed messages.
type linkModel struct {
	draw        func(n int) int // a random choice below n
	omitRemoved bool            // planted fault: deltas omit the removed rows, with a digest to match

	node          fleet.Report
	raw           []byte                  // the node's newest report
	reported      map[string]fleet.Report // every report of the node, by incarnation and sequence number
	sender        Sender
	leader        Bases
	previousBuild bool              // the leader is of the previous build
	noSession     bool              // the node's incarnation has no session
	leaderReport  fleet.Report      // the leader's version of the node's report
	acknowledged  map[uint64]uint64 // newest sequence number acknowledged under the present leader, by incarnation
	delayed       []message         // messages that arrive later, perhaps repeatedly or out of order
	accepted      map[string]int    // number of accepted messages, by kind
	rejected      map[string]int    // number of rejected deltas, by reason
}

func newLinkModel(draw func(n int) int) *linkModel {
	l := &linkModel{draw: draw, reported: map[string]fleet.Report{}, acknowledged: map[uint64]uint64{}, accepted: map[string]int{}, rejected: map[string]int{}}
	l.node = fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: 1}, AppliedRoot: "00", ListRoot: "00"}
	return l
}

func reportID(r fleet.Report) string { return fmt.Sprint(r.Incarnation, "/", r.Sequence) }

// nextReport returns the node's next report: rows are added, changed and removed.
func (l *linkModel) nextReport() fleet.Report {
	n := &l.node
	n.Sequence++
	n.Tenants = slices.Clone(n.Tenants)
	n.Zones = slices.Clone(n.Zones)
	n.Applied = slices.Clone(n.Applied)
	for range l.draw(5) {
		key := fmt.Sprint("t", l.draw(8))
		i := slices.IndexFunc(n.Tenants, func(t fleet.TenantAck) bool { return t.Name == key })
		switch {
		case i < 0:
			n.Tenants = append(n.Tenants, fleet.TenantAck{Name: key, UID: uint64(l.draw(9))})
		case l.draw(4) == 0:
			n.Tenants = slices.Delete(n.Tenants, i, i+1)
		case l.draw(3) == 0:
			n.Tenants[i].Committed++
		default:
			n.Tenants[i].Offered, n.Tenants[i].Open = float64(l.draw(3))/3, l.draw(3)
		}
	}
	if l.draw(3) == 0 {
		n.Zones = nil
		for i := range l.draw(3) {
			n.Zones = append(n.Zones, fleet.ZoneEvidence{Zone: fmt.Sprint("z", i), Attempts: l.draw(3)})
		}
		n.Applied = nil
		for i := range l.draw(3) {
			n.Applied = append(n.Applied, fleet.AppliedItem{Key: fmt.Sprint("~", i), Digest: "aa", Body: json.RawMessage(fmt.Sprintf(`{"a": "<%d>"}`, l.draw(3)))})
		}
	}
	n.Ready = l.draw(2) == 0
	l.raw, _ = json.Marshal(*n) // as the agent reads it and forwards it complete
	r, err := fleet.DecodeReport(l.raw)
	if err != nil {
		panic(err)
	}
	return Normalize(r)
}

// encode does the agent's part: it returns the delta if there is one.
func (l *linkModel) encode(r fleet.Report) message {
	d, ok := l.sender.Delta(r)
	if !ok {
		return message{complete: l.raw}
	}
	if l.omitRemoved {
		d.ZonesRemoved = nil
		d.TenantsRemoved = nil
		d.AppliedRemoved = nil
		if base, err := l.leader.Find(&d); err == nil {
			d.Digest = digestAsApplied(base, d)
		}
	}
	raw, _ := Encode(d)
	return message{delta: raw}
}

// digestAsApplied returns the digest of the report that a delta gives, whether the delta is right or wrong.
func digestAsApplied(base fleet.Report, d Delta) string {
	r := d.Head
	r.Services = base.Services
	r.Zones, _ = mergeRows(base.Zones, zoneKey, d.Zones, d.ZonesRemoved)
	tenants, _ := applyLoads(base.Tenants, d.Loads)
	r.Tenants, _ = mergeRows(tenants, tenantKey, d.Tenants, d.TenantsRemoved)
	r.Applied, _ = mergeRows(base.Applied, appliedKey, d.Applied, d.AppliedRemoved)
	return Digest(r)
}

// handle does the leader's part: it accepts or rejects a message and returns the answer. ok is false if no answer body is sent (404, 400).
func (l *linkModel) handle(m message) (ans fleet.ReportAnswer, ok bool, err error) {
	r, baseSeq := fleet.Report{}, uint64(0)
	if m.delta != nil {
		if l.previousBuild {
			return ans, false, nil
		}
		d, err := Decode(m.delta)
		if err != nil {
			l.rejected[MetricReason(err)]++
			return ans, false, nil
		}
		base, err := l.leader.Find(&d)
		if err == nil {
			r, err = Apply(base, d)
		}
		if err != nil {
			l.rejected[MetricReason(err)]++
			return fleet.ReportAnswer{SendComplete: true}, true, nil
		}
		baseSeq = d.BaseSequence
	} else {
		if r, err = fleet.DecodeReport(m.complete); err != nil {
			return ans, false, nil
		}
		r = Normalize(r)
	}
	if r.Incarnation < l.leaderReport.Incarnation || r.Incarnation == l.leaderReport.Incarnation && r.Sequence < l.leaderReport.Sequence {
		return ans, false, nil // the controller rejects older reports
	}
	if reported := l.reported[reportID(r)]; Digest(reported) != Digest(r) {
		return ans, false, fmt.Errorf("the leader accepts a report that the node never made: %s: %s", reportID(r), diffReports(reported, r))
	}
	if r.Sequence < l.acknowledged[r.Incarnation] {
		return ans, false, fmt.Errorf("the leader has report %d, older than %d, which it acknowledged", r.Sequence, l.acknowledged[r.Incarnation])
	}
	l.leaderReport = r
	l.accepted[map[bool]string{true: "difference", false: "whole"}[m.delta != nil]]++
	if !l.previousBuild && !l.noSession {
		ans.AckSequence = l.leader.Keep(r, baseSeq)
		l.acknowledged[r.Incarnation] = ans.AckSequence
	}
	return ans, true, nil
}

// deliver has the agent send a report over a link with faults. After a request for the complete report it sends that at once.
func (l *linkModel) deliver(r fleet.Report, fault int) error {
	for attempt := range 2 {
		m := l.encode(r)
		switch fault {
		case 1: // the message is lost
			return nil
		case 2: // the message is delayed: it arrives later, or never
			l.delayed = append(l.delayed, m)
			return nil
		case 3: // the message is repeated: it arrives now and again later
			l.delayed = append(l.delayed, m)
		case 4: // the message is truncated
			if m.delta != nil {
				m.delta = m.delta[:l.draw(len(m.delta))]
			}
		}
		ans, ok, err := l.handle(m)
		if err != nil {
			return err
		}
		if fault == 5 { // the answer is lost
			return nil
		}
		switch {
		case !ok && m.delta != nil, ans.SendComplete:
			if attempt > 0 {
				return errors.New("the complete report was requested twice")
			}
			l.sender.Forget()
			continue
		case ok:
			l.sender.Acknowledged(r, ans.AckSequence)
		}
		return nil
	}
	return nil
}

// step performs one random event.
func (l *linkModel) step() error {
	switch l.draw(12) {
	case 0:
		switch l.draw(5) {
		case 0: // another leader takes over, perhaps of the previous build
			l.leader, l.acknowledged, l.leaderReport, l.previousBuild = Bases{}, map[uint64]uint64{}, fleet.Report{}, l.draw(3) == 0
		case 1: // the agent restarts
			l.sender = Sender{}
		case 2: // the node restarts
			l.node.Incarnation++
			l.node.Sequence = 0
		case 3: // the session ends, or is held again
			if l.noSession = !l.noSession; l.noSession {
				l.leader.Retain(func(fleet.Member) bool { return false })
			}
		case 4:
			l.delayed = nil
		}
		return nil
	case 1, 2: // a delayed message arrives, whatever arrived since
		if len(l.delayed) > 0 {
			_, _, err := l.handle(l.delayed[l.draw(len(l.delayed))])
			return err
		}
		return nil
	}
	r := l.nextReport()
	l.reported[reportID(r)] = r
	return l.deliver(r, l.draw(10))
}

// settle sends two reports over a link without faults and checks that both are accepted and acknowledged.
func (l *linkModel) settle() error {
	l.delayed = nil
	l.noSession = false
	l.previousBuild = false
	for range 2 {
		r := l.nextReport()
		l.reported[reportID(r)] = r
		before := l.accepted["difference"]
		if err := l.deliver(r, 0); err != nil {
			return err
		}
		if reportID(l.leaderReport) != reportID(r) {
			return fmt.Errorf("the leader has %s, the node is at %s", reportID(l.leaderReport), reportID(r))
		}
		if l.sender.base.Sequence != r.Sequence || l.sender.hasBase && l.leader.Len() != 1 {
			return fmt.Errorf("report %d is not acknowledged (%d deltas accepted before)", r.Sequence, before)
		}
	}
	return nil
}

// The leader's version of the node's report is always one that the node made, and none older than one that it acknowledged, over a
// link that loses, repeats, reorders and truncates messages, with restarts of node and agent and changes of the leader.
func TestLossyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLinkModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 60 {
			if err := l.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.settle(); err != nil {
			t.Fatal(err)
		}
	})
}

// run executes a seed's schedule up to its first error.
func run(seed uint64, omitRemoved bool) (*linkModel, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	l := newLinkModel(random.IntN)
	l.omitRemoved = omitRemoved
	for range 200 {
		if err := l.step(); err != nil {
			return l, err
		}
	}
	return l, l.settle()
}

// The schedules reach the faults that they are meant for, and they catch a planted fault that the digest does not catch: deltas that
// omit the removed rows.
func TestPlantedDeltaWithoutRemovedRows(t *testing.T) {
	totals, caught := map[string]int{}, 0
	for seed := range uint64(20) {
		l, err := run(seed, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for k, n := range l.accepted {
			totals[k] += n
		}
		for k, n := range l.rejected {
			totals["rejected "+k] += n
		}
		if _, err := run(seed, true); err != nil {
			caught++
		}
	}
	t.Logf("20 seeds: %v; planted and caught: %d", totals, caught)
	for _, k := range []string{"whole", "difference", "rejected base", "rejected invalid"} {
		if totals[k] == 0 {
			t.Errorf("no message counted as %s", k)
		}
	}
	if caught != 20 {
		t.Errorf("the planted fault was caught in %d of 20 seeds", caught)
	}
}
