package linearizability

import (
	"testing"
	"time"
)

func TestLinearHistoryPasses(t *testing.T) {
	h := []Operation{
		{Client: 0, Write: true, ID: "a", Call: 0, Return: 10},
		{Client: 1, IDs: nil, Call: 1, Return: 5},           // concurrent with the write: may miss it
		{Client: 1, IDs: []string{"a"}, Call: 6, Return: 8}, // may see it
		{Client: 2, IDs: []string{"a"}, Call: 11, Return: 12},
		{Client: 3, Write: true, ID: "b", Call: 13, Unknown: true},
		{Client: 2, IDs: []string{"a"}, Call: 14, Return: 15}, // b may not be in yet
		{Client: 2, IDs: []string{"a", "b"}, Call: 16, Return: 17},
	}
	if r := Check(h, time.Second); len(r.Violations) != 0 || r.IDs != 2 {
		t.Errorf("%+v", r)
	}
}

// A read that starts after a write was acknowledged and misses it is stale: the checker must say so.
func TestStaleReadIsCaught(t *testing.T) {
	h := []Operation{
		{Client: 0, Write: true, ID: "a", Call: 0, Return: 10},
		{Client: 1, IDs: nil, Call: 11, Return: 12},
	}
	if r := Check(h, time.Second); len(r.Violations) != 1 || r.Violations[0] != "a" {
		t.Errorf("%+v", r)
	}
	// and a read that saw b, then one that did not, though b's write has no known end
	h = []Operation{
		{Client: 0, Write: true, ID: "b", Call: 0, Unknown: true},
		{Client: 1, IDs: []string{"b"}, Call: 5, Return: 6},
		{Client: 1, IDs: nil, Call: 7, Return: 8},
	}
	if r := Check(h, time.Second); len(r.Violations) != 1 {
		t.Errorf("a read going back: %+v", r)
	}
}
