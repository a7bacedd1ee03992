package policy_test

import (
	"fmt"
	"time"

	"meadowsill/policy"
)

// A node asks the module where a request goes, with no wire in between.
func Example() {
	m := policy.New(policy.Settings{
		Nodes: 1, MaxAttempts: 3, SlowStartMinCapacity: 0.5, SlowStartWindow: 5 * time.Second,
		Classes: []policy.Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: policy.Idempotent}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: []policy.Server{{ID: 7, State: policy.Ready}}})
	for _, a := range m.Handle(clock, policy.RequestArrived{ID: "r1", Class: "page", Timeout: time.Second}) {
		if s, ok := a.(policy.Forward); ok {
			fmt.Printf("send %s to server %d for %v\n", s.ID, s.Server, s.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}
