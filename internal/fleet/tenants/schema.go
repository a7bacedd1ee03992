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

// Limits of a specification.
const (
	nameLimit    = 64  // bytes of a name of a tenant, service, class, zone or kind
	patternLimit = 128 // bytes of a route's id pattern
	classLimit   = 32  // number of classes in a list
	routeLimit   = 64  // number of routes
	maxRate      = 1e7 // requests/s of a rate, and requests of a burst
	weightLimit  = 1e6
)

// FieldError describes one error in a specification. It wraps fleet.ErrInvalid.
type FieldError struct {
	Field   string // path of the field, such as "routes[1].weight"; empty: the whole specification
	Line    int    // line in the TOML file, counted from 1; 0: not known
	Problem string
}

// Error returns the error on one line, for example "invalid: line 4: quota.rate: must be above 0".
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

// oneLine shortens a text from a peer and replaces control characters, so that it fits on one line.
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

// Unwrap returns fleet.ErrInvalid, so that errors.Is(err, fleet.ErrInvalid) is true.
func (e *FieldError) Unwrap() error { return fleet.ErrInvalid }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate checks a complete specification and returns the first error, in the order of the schema, as a *FieldError.
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

// checkName accepts letters, digits and "._-", beginning with a letter or digit, because a name must fit into an X-Account
// header and into a path.
func checkName(field, v string) error {
	switch {
	case v == "":
		return fieldError(field, "is missing")
	case len(v) > nameLimit:
		return fieldError(field, "is longer than %d bytes", nameLimit)
	}
	for i, r := range v {
		alphanumeric := r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r))
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", r)) {
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

// checkNumber accepts finite numbers from 0 to largest; if positive is set, 0 is rejected too.
func checkNumber(field string, v, largest float64, positive bool) error {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return fieldError(field, "must be a finite number")
	case positive && v <= 0:
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
		routeField := func(f string) string { return fmt.Sprintf("routes[%d].%s", i, f) }
		if r.Zone != "" {
			if err := checkName(routeField("zone"), r.Zone); err != nil {
				return err
			}
		}
		if r.Kind != "" {
			if err := checkName(routeField("kind"), r.Kind); err != nil {
				return err
			}
		}
		if len(r.ID) > patternLimit {
			return fieldError(routeField("id"), "is longer than %d bytes", patternLimit)
		}
		if _, err := path.Match(r.ID, ""); err != nil || strings.ContainsFunc(r.ID, unicode.IsControl) {
			return fieldError(routeField("id"), "%q is no pattern", r.ID)
		}
		if err := checkNumber(routeField("weight"), r.Weight, weightLimit, true); err != nil {
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

// Canonical returns the canonical JSON of a specification: the bytes are the same for specifications of the same meaning.
// Classes are sorted, and empty lists are left out. The order of routes is kept.
func Canonical(s fleet.Spec) []byte {
	s.Namespace.Classes = slices.Sorted(slices.Values(s.Namespace.Classes))
	raw, err := json.Marshal(s)
	if err != nil { // only numbers that Validate rejects can't be encoded
		return nil
	}
	return raw
}

// Digest returns the xxhash64 of a specification's canonical JSON as 16 hex digits.
func Digest(s fleet.Spec) string { return fmt.Sprintf("%016x", xxhash.Sum64(Canonical(s))) }
