package fleet

import (
	"errors"
	"strings"
	"testing"
)

func TestServes(t *testing.T) {
	cases := []struct {
		services []string
		service  string
		want     bool
	}{
		{nil, "billing", true},
		{[]string{"billing"}, "", true},
		{[]string{"billing", "search"}, "search", true},
		{[]string{"billing"}, "search", false},
	}
	for _, c := range cases {
		if got := Serves(c.services, c.service); got != c.want {
			t.Errorf("Serves(%q, %q) = %v, want %v", c.services, c.service, got, c.want)
		}
	}
}

func TestValidScope(t *testing.T) {
	for _, good := range [][]string{nil, {"a"}, {"a", "b"}} {
		if err := ValidScope(good); err != nil {
			t.Errorf("%q: %v", good, err)
		}
	}
	for _, bad := range [][]string{{""}, {"b", "a"}, {"a", "a"}, {strings.Repeat("x", MaxServiceNameBytes+1)}, make([]string, MaxScopeServices+1)} {
		if err := ValidScope(bad); !errors.Is(err, ErrInvalid) {
			t.Errorf("%.80q: %v, want ErrInvalid", bad, err)
		}
	}
}
