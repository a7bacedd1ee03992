package agent

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"meadowsill/internal/fleet"
)

// A tenant is in scope by its committed or its staged service. Every other item is in every scope.
func TestInScope(t *testing.T) {
	scope := []string{"billing", "search"}
	for _, row := range []struct {
		item fleet.Item
		want bool
	}{
		{tenantOf("x", 3, "billing", "-"), true},
		{tenantOf("x", 3, "mail", "-"), false},
		{tenantOf("x", 3, "mail", "search"), true},
		{tenantOf("x", 3, "search", "mail"), true},
		{tenantOf("x", 3, "mail", "chat"), false},
		{tenantOf("x", 3, "-", "mail"), false},
		{tenantOf("x", 3, "-", "-"), true},
		{tenantOf("x", 3, "", "-"), true},
		{tenantOf("x", 3, "mail", ""), true},
		{fleet.Item{Key: "tenant/x", Revision: 3, Removed: true}, true},
		{fleet.Item{Key: "zone/mail", Revision: 3, Body: json.RawMessage(`{"phase":"left"}`)}, true},
		{fleet.Item{Key: "share/n", Revision: 3, Body: json.RawMessage(`{}`)}, true},
	} {
		if got := inScope(scope, row.item); got != row.want {
			t.Errorf("%s %s: %v", row.item.Key, row.item.Body, got)
		}
		if !inScope(nil, row.item) {
			t.Errorf("%s %s: not in the scope of a node without a scope", row.item.Key, row.item.Body)
		}
	}
}

// A complete answer loses the items out of scope. A delta has them as removed, because they may have been in scope before.
func TestRestrictToScope(t *testing.T) {
	items := []fleet.Item{tenantOf("in", 3, "billing", "-"), tenantOf("out", 4, "mail", "-"), tenantOf("moves", 5, "billing", "mail")}
	summary := func(in fleet.Intent) (out []string) {
		for _, item := range in.Items {
			out = append(out, fmt.Sprintf("%s %d %v", item.Key, item.Revision, item.Removed))
		}
		return out
	}
	for _, row := range []struct {
		services []string
		full     bool
		want     []string
	}{
		{[]string{"billing"}, true, []string{"tenant/in 3 false", "tenant/moves 5 false"}},
		{[]string{"billing"}, false, []string{"tenant/in 3 false", "tenant/out 4 true", "tenant/moves 5 false"}},
		{[]string{"mail"}, true, []string{"tenant/out 4 false", "tenant/moves 5 false"}},
		{nil, true, []string{"tenant/in 3 false", "tenant/out 4 false", "tenant/moves 5 false"}},
	} {
		in := fleet.Intent{Revision: 9, Full: row.full, Items: slices.Clone(items)}
		if got := summary(restrictToScope(row.services, in)); !slices.Equal(got, row.want) {
			t.Errorf("%v, full %v: %v", row.services, row.full, got)
		}
	}
}

func TestIsWidened(t *testing.T) {
	for _, row := range []struct {
		before []string
		now    []string
		want   bool
	}{
		{nil, nil, false}, {nil, []string{"a"}, false}, {[]string{"a"}, nil, true}, {[]string{"a"}, []string{"a"}, false},
		{[]string{"a", "b"}, []string{"a"}, false}, {[]string{"a"}, []string{"a", "b"}, true}, {[]string{"a"}, []string{"b"}, true},
	} {
		if got := isWidened(row.before, row.now); got != row.want {
			t.Errorf("from %v to %v: %v", row.before, row.now, got)
		}
	}
}
