package tenants

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// benchNodes is the number of nodes among which the benchmark divides the quotas.
const benchNodes = 100

// benchDivision returns a fleet of n committed tenants whose quotas are not yet divided, with a report from each node.
func benchDivision(b *testing.B, n int) (*State, *Controller, []fleet.Member) {
	state, rev := &State{}, uint64(0)
	next := func() uint64 { rev++; return rev }
	for i := range n {
		name := fmt.Sprintf("tenant-%06d", i)
		put := Command{Operation: Put, Name: name, Spec: &fleet.Spec{Name: name, Quota: fleet.Quota{Rate: 100}}}
		if _, err := state.Apply(put, firstEpoch, next); err != nil {
			b.Fatal(err)
		}
		entry := state.Tenants[name]
		for _, op := range []string{Commit, Applied} {
			command := Command{Operation: op, Name: name, Generation: 1, UID: entry.UID, IfRevision: entry.Revision, Epoch: 1}
			if _, err := state.Apply(command, firstEpoch, next); err != nil {
				b.Fatal(err)
			}
		}
	}
	controller := NewController(Config{Slots: benchNodes, TTL: 6 * time.Second})
	var present []fleet.Member
	for i := range benchNodes {
		member := fleet.Member{Node: fmt.Sprintf("n%04d", i), Incarnation: 1}
		present = append(present, member)
		report := fleet.Report{Member: member, Sequence: 1, Revision: rev}
		for name, entry := range state.Tenants {
			report.Tenants = append(report.Tenants, fleet.TenantAck{Name: name, UID: entry.UID, Committed: 1,
				Digest: entry.Committed.Digest, Offered: float64((i + len(name)) % 7)})
		}
		controller.Observe(0, fleet.NodeView{Member: member, Report: report})
	}
	return state, controller, present
}

// BenchmarkCapacityDivision measures the first division of all quotas among 100 nodes: the decision of the controller, and
// applying it to the state. It reports the size of the leases in a snapshot.
func BenchmarkCapacityDivision(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("pairs=%d", benchNodes*n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				b.StopTimer()
				state, controller, present := benchDivision(b, n)
				rev := uint64(1_000_000)
				b.StartTimer()
				commands := controller.Step(time.Second, state, Present{Epoch: firstEpoch, Members: present})
				if len(commands) != 1 || commands[0].Operation != Divide {
					b.Fatalf("%d commands", len(commands))
				}
				if _, err := state.Apply(commands[0], firstEpoch, func() uint64 { rev++; return rev }); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				raw, err := json.Marshal(state.Runs)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
				b.StartTimer()
			}
			b.ReportMetric(float64(size), "leases-B")
		})
	}
}
