package policy_test

import (
	"fmt"
	"time"

	"meadowsill/policy"
)

// A node asks the module where a request goes, with no wire in between.
func Example() {
	m := policy.New(policy.Settings{
		Nodes: 1, MaxAttempts: 3, ColdFrom: 0.5, ColdTime: 5 * time.Second,
		Classes: []policy.Class{{Name: "page", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: policy.Safe}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, policy.ListUpdate{Kind: policy.ListCached, Entries: []policy.Server{{ID: 7, State: policy.Ready}}})
	for _, a := range m.Handle(clock, policy.RequestArrived{ID: "r1", Class: "page", Patience: time.Second}) {
		if s, ok := a.(policy.Send); ok {
			fmt.Printf("send %s to server %d for %v\n", s.ID, s.Server, s.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}
