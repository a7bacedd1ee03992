package linearizability

import (
	"testing"
	"time"
)

func TestLinearizableHistoryPasses(t *testing.T) {
	h := []Operation{
		{Client: 0, Write: true, ID: "a", Call: 0, Return: 10},
		{Client: 1, IDs: nil, Call: 1, Return: 5},           // concurrent with the write, so it may miss the write
		{Client: 1, IDs: []string{"a"}, Call: 6, Return: 8}, // or see it
		{Client: 2, IDs: []string{"a"}, Call: 11, Return: 12},
		{Client: 3, Write: true, ID: "b", Call: 13, Unknown: true},
		{Client: 2, IDs: []string{"a"}, Call: 14, Return: 15}, // the write of b may not have taken effect yet
		{Client: 2, IDs: []string{"a", "b"}, Call: 16, Return: 17},
	}
	if r := Check(h, time.Second); len(r.Violations) != 0 || r.IDs != 2 {
		t.Errorf("%+v", r)
	}
}

// TestStaleReadIsReported checks that the checker reports a read that starts after a write was acknowledged and misses it.
func TestStaleReadIsReported(t *testing.T) {
	h := []Operation{
		{Client: 0, Write: true, ID: "a", Call: 0, Return: 10},
		{Client: 1, IDs: nil, Call: 11, Return: 12},
	}
	if r := Check(h, time.Second); len(r.Violations) != 1 || r.Violations[0] != "a" {
		t.Errorf("%+v", r)
	}
	// A read misses b after an earlier read has seen it. The write of b has an unknown outcome.
	h = []Operation{
		{Client: 0, Write: true, ID: "b", Call: 0, Unknown: true},
		{Client: 1, IDs: []string{"b"}, Call: 5, Return: 6},
		{Client: 1, IDs: nil, Call: 7, Return: 8},
	}
	if r := Check(h, time.Second); len(r.Violations) != 1 {
		t.Errorf("a read that misses an id after an earlier read: %+v", r)
	}
}
