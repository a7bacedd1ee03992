package policy_test

import (
	"fmt"
	"time"

	"meadowsill/policy"
)

// This example passes a request to the module, and prints the server that the module forwards it to.
func Example() {
	m := policy.New(policy.Settings{
		Nodes: 1, MaxAttempts: 3, SlowStartMinCapacity: 0.5, SlowStartWindow: 5 * time.Second,
		Classes: []policy.Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: policy.Idempotent}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: []policy.Server{{ID: 7, State: policy.Ready}}})
	for _, a := range m.Handle(clock, policy.RequestArrived{ID: "r1", Class: "page", Timeout: time.Second}) {
		if forward, ok := a.(policy.Forward); ok {
			fmt.Printf("send %s to server %d for %v\n", forward.ID, forward.Server, forward.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}
