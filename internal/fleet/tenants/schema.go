package tenants

import (
	"encoding/json"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

// Limits of the schema.
const (
	nameLimit    = 64  // bytes of a name: tenant, class, zone, kind
	patternLimit = 128 // bytes of an id pattern
	classLimit   = 32  // classes named
	routeLimit   = 64  // routes
	maxRate      = 1e7 // requests/s, and requests of a burst
	weightLimit  = 1e6
)

// FieldError is one fault of a specification. It wraps fleet.ErrInvalid.
type FieldError struct {
	Field   string // its path, as "routes[1].weight"; empty: the complete
	Line    int    // of the TOML file, from 1; 0: not known
	Problem string
}

// Error returns one plain line: "invalid: line 4: quota.rate: must be above 0".
func (e *FieldError) Error() string {
	var b strings.Builder
	b.WriteString(fleet.ErrInvalid.Error())
	if e.Line > 0 {
		fmt.Fprintf(&b, ": line %d", e.Line)
	}
	if e.Field != "" {
		b.WriteString(": " + oneLine(e.Field))
	}
	return b.String() + ": " + oneLine(e.Problem)
}

// oneLine keeps what a peer wrote short and without control characters.
func oneLine(s string) string {
	if len(s) > 300 {
		s = s[:300] + "..."
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			return '?'
		}
		return r
	}, s)
}

// Unwrap makes errors.Is(err, fleet.ErrInvalid) true.
func (e *FieldError) Unwrap() error { return fleet.ErrInvalid }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate checks a specification whole and gives its first fault as a *FieldError, in the schema's order.
func Validate(s fleet.Spec) error {
	if err := checkName("name", s.Name); err != nil {
		return err
	}
	if s.Service != "" {
		if err := checkName("service", s.Service); err != nil {
			return err
		}
	}
	if err := checkNamespace(s.Namespace); err != nil {
		return err
	}
	if err := checkQuota(s.Quota, s.Namespace.Classes); err != nil {
		return err
	}
	return checkRoutes(s)
}

// checkName takes letters, digits and "._-", the first a letter or digit: what an X-Account and a path can carry.
func checkName(field, v string) error {
	switch {
	case v == "":
		return fieldError(field, "is missing")
	case len(v) > nameLimit:
		return fieldError(field, "is longer than %d bytes", nameLimit)
	}
	for i, r := range v {
		plain := r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r))
		if !plain && (i == 0 || !strings.ContainsRune("._-", r)) {
			return fieldError(field, "%q has other than letters, digits, '.', '_' and '-', or begins with none of the first two", v)
		}
	}
	return nil
}

func checkNamespace(n fleet.Namespace) error {
	if len(n.Classes) > classLimit {
		return fieldError("namespace.classes", "names more than %d classes", classLimit)
	}
	for i, c := range n.Classes {
		field := fmt.Sprintf("namespace.classes[%d]", i)
		if err := checkName(field, c); err != nil {
			return err
		}
		if slices.Contains(n.Classes[:i], c) {
			return fieldError(field, "%q is named twice", c)
		}
	}
	return nil
}

// checkNumber takes finite numbers from 0 (above: from over 0) to most.
func checkNumber(field string, v, largest float64, above bool) error {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return fieldError(field, "must be a finite number")
	case above && v <= 0:
		return fieldError(field, "must be above 0")
	case v < 0:
		return fieldError(field, "must not be negative")
	case v > largest:
		return fieldError(field, "must not be above %g", largest)
	}
	return nil
}

func checkQuota(q fleet.Quota, classes []string) error {
	if err := checkNumber("quota.rate", q.Rate, maxRate, true); err != nil {
		return err
	}
	if err := checkNumber("quota.burst", q.Burst, maxRate, false); err != nil {
		return err
	}
	if len(q.Classes) > classLimit {
		return fieldError("quota.classes", "names more than %d classes", classLimit)
	}
	for _, c := range sortedKeys(q.Classes) {
		field := "quota.classes." + c
		if err := checkName(field, c); err != nil {
			return err
		}
		if err := checkNumber(field, q.Classes[c], maxRate, false); err != nil {
			return err
		}
		if q.Classes[c] > q.Rate {
			return fieldError(field, "%g is above quota.rate, %g", q.Classes[c], q.Rate)
		}
		if len(classes) > 0 && !slices.Contains(classes, c) {
			return fieldError(field, "is not among namespace.classes")
		}
	}
	return nil
}

func checkRoutes(s fleet.Spec) error {
	if len(s.Routes) > routeLimit {
		return fieldError("routes", "are more than %d", routeLimit)
	}
	for i, r := range s.Routes {
		at := func(f string) string { return fmt.Sprintf("routes[%d].%s", i, f) }
		if r.Zone != "" {
			if err := checkName(at("zone"), r.Zone); err != nil {
				return err
			}
		}
		if r.Kind != "" {
			if err := checkName(at("kind"), r.Kind); err != nil {
				return err
			}
		}
		if len(r.ID) > patternLimit {
			return fieldError(at("id"), "is longer than %d bytes", patternLimit)
		}
		if _, err := path.Match(r.ID, ""); err != nil || strings.ContainsFunc(r.ID, unicode.IsControl) {
			return fieldError(at("id"), "%q is no pattern", r.ID)
		}
		if err := checkNumber(at("weight"), r.Weight, weightLimit, true); err != nil {
			return err
		}
		for k, o := range s.Routes[:i] {
			if o.Zone == r.Zone && o.Kind == r.Kind && o.ID == r.ID {
				return fieldError(fmt.Sprintf("routes[%d]", i), "names the same servers as routes[%d]", k)
			}
		}
	}
	switch {
	case s.Fallback == "any" || s.Fallback == "refuse":
	case s.Fallback != "":
		return fieldError("fallback", "%q is neither \"any\" nor \"refuse\"", s.Fallback)
	case len(s.Routes) > 0:
		return fieldError("fallback", "is missing: routes need one, \"any\" or \"refuse\"")
	}
	return nil
}

// Canonical returns the JSON of a specification, the same bytes for the same meaning: classes in order, empty
// lists left out. The order of routes is kept.
func Canonical(s fleet.Spec) []byte {
	s.Namespace.Classes = slices.Sorted(slices.Values(s.Namespace.Classes))
	raw, err := json.Marshal(s)
	if err != nil { // only numbers that Validate rejects
		return nil
	}
	return raw
}

// Digest is the xxhash64 of a specification's canonical JSON, 16 hex digits.
func Digest(s fleet.Spec) string { return fmt.Sprintf("%016x", xxhash.Sum64(Canonical(s))) }
