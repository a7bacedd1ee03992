package tenants

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/BurntSushi/toml"

	"meadowsill/internal/fleet"
)

// maxDepth is how deep a JSON body may be nested; the schema needs 3.
const maxDepth = 8

// ParseTOML reads a tenant file and validates it completely. Errors are *FieldError with the field and its line.
func ParseTOML(data []byte) (fleet.Spec, error) {
	if len(data) > fleet.MaxTenantBytes {
		return fleet.Spec{}, fieldError("", "is over %d bytes", fleet.MaxTenantBytes)
	}
	var tree map[string]any
	if _, err := toml.Decode(string(data), &tree); err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return fleet.Spec{}, &FieldError{Field: pe.LastKey, Line: pe.Position.Line, Problem: pe.Message}
		}
		return fleet.Spec{}, fieldError("", "%s", err)
	}
	spec, err := fromTree(tree)
	var fe *FieldError
	if errors.As(err, &fe) {
		fe.Line = lineOf(string(data), fe.Field)
	}
	return spec, err
}

// ParseJSON reads the same from JSON. Errors are *FieldError with the field's path.
func ParseJSON(data []byte) (fleet.Spec, error) {
	tree, err := decodeJSON(data)
	if err != nil {
		return fleet.Spec{}, err
	}
	return fromTree(tree)
}

// ParseProposal reads the body of PUT /fleet/v1/tenants/NAME, {"generation": G, "spec": SPEC}: the generation that
// the operator read (0: none) and the specification, validated completely. Field paths begin with "spec.".
func ParseProposal(data []byte) (generation uint64, spec fleet.Spec, err error) {
	body, err := decodeJSON(data)
	if err != nil {
		return 0, fleet.Spec{}, err
	}
	for _, k := range sortedKeys(body) {
		if k != "generation" && k != "spec" {
			return 0, fleet.Spec{}, fieldError(k, "is not known")
		}
	}
	g, ok := body["generation"].(float64)
	if !ok || g < 0 || g != math.Trunc(g) || g > 1<<53 {
		return 0, fleet.Spec{}, fieldError("generation", "must be a whole number, 0 for a new tenant")
	}
	inner, ok := body["spec"].(map[string]any)
	if !ok {
		return 0, fleet.Spec{}, fieldError("spec", "must be an object")
	}
	spec, err = fromTree(inner)
	var fe *FieldError
	if errors.As(err, &fe) {
		fe.Field = strings.TrimSuffix(join("spec", fe.Field), ".")
	}
	return uint64(g), spec, err
}

// decodeJSON reads one JSON object, its numbers as float64.
func decodeJSON(data []byte) (map[string]any, error) {
	if len(data) > fleet.MaxTenantBytes {
		return nil, fieldError("", "is over %d bytes", fleet.MaxTenantBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := readJSON(dec, "", 0)
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fieldError("", "goes on after its end")
	}
	tree, ok := v.(map[string]any)
	if !ok {
		return nil, fieldError("", "must be an object")
	}
	return tree, nil
}

// readJSON reads one value token by token, so that a key given twice is an error and not the last one's.
func readJSON(dec *json.Decoder, at string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fieldError(at, "is nested too deep")
	}
	tok, err := dec.Token()
	if err != nil {
		return nil, fieldError(at, "is no JSON: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	switch t := tok.(type) {
	case json.Delim:
		if t == '[' {
			list := []any{}
			for dec.More() {
				v, err := readJSON(dec, fmt.Sprintf("%s[%d]", at, len(list)), depth+1)
				if err != nil {
					return nil, err
				}
				list = append(list, v)
			}
			return list, closeJSON(dec, at)
		}
		m := map[string]any{}
		for dec.More() {
			k, err := dec.Token()
			key, ok := k.(string)
			if err != nil || !ok {
				return nil, fieldError(at, "is no JSON: a key must be a string")
			}
			if _, twice := m[key]; twice {
				return nil, fieldError(join(at, key), "is given twice")
			}
			v, err := readJSON(dec, join(at, key), depth+1)
			if err != nil {
				return nil, err
			}
			m[key] = v
		}
		return m, closeJSON(dec, at)
	case json.Number:
		f, err := t.Float64()
		if err != nil {
			return nil, fieldError(at, "must be a finite number")
		}
		return f, nil
	}
	return tok, nil
}

func closeJSON(dec *json.Decoder, at string) error {
	if _, err := dec.Token(); err != nil {
		return fieldError(at, "is no JSON: it has no end")
	}
	return nil
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// tree walks decoded TOML or JSON by the schema and keeps the first fault.
type tree struct{ err error }

func (t *tree) fail(field, format string, args ...any) {
	if t.err == nil {
		t.err = fieldError(field, format, args...)
	}
}

// fields calls each for every key, in order; it reports whether it knows the key.
func (t *tree) fields(at string, v any, each func(field, key string, v any) bool) {
	m, ok := v.(map[string]any)
	if !ok {
		t.fail(at, "must be a table")
		return
	}
	for _, k := range sortedKeys(m) {
		if !each(join(at, k), k, m[k]) {
			t.fail(join(at, k), "is not known")
		}
	}
}

func (t *tree) text(field string, v any, to *string) bool {
	s, ok := v.(string)
	if !ok {
		t.fail(field, "must be a string")
	}
	*to = s
	return true
}

func (t *tree) number(field string, v any, to *float64) bool {
	switch n := v.(type) {
	case float64:
		*to = n
	case int64:
		*to = float64(n)
	default:
		*to = math.NaN()
		t.fail(field, "must be a number")
	}
	return true
}

func (t *tree) list(field string, v any, each func(field string, v any)) bool {
	switch l := v.(type) {
	case []any:
		for i, v := range l {
			each(fmt.Sprintf("%s[%d]", field, i), v)
		}
	case []map[string]any: // TOML's arrays of tables
		for i, v := range l {
			each(fmt.Sprintf("%s[%d]", field, i), v)
		}
	default:
		t.fail(field, "must be a list")
	}
	return true
}

func fromTree(m map[string]any) (fleet.Spec, error) {
	var s fleet.Spec
	var t tree
	t.fields("", m, func(field, key string, v any) bool {
		switch key {
		case "name":
			return t.text(field, v, &s.Name)
		case "service":
			return t.text(field, v, &s.Service)
		case "fallback":
			return t.text(field, v, &s.Fallback)
		case "namespace":
			t.fields(field, v, func(field, key string, v any) bool {
				return key == "classes" && t.list(field, v, func(field string, v any) {
					var c string
					t.text(field, v, &c)
					s.Namespace.Classes = append(s.Namespace.Classes, c)
				})
			})
		case "quota":
			t.quota(field, v, &s.Quota)
		case "routes":
			return t.list(field, v, func(field string, v any) {
				var r fleet.Route
				t.fields(field, v, func(field, key string, v any) bool {
					switch key {
					case "zone":
						return t.text(field, v, &r.Zone)
					case "kind":
						return t.text(field, v, &r.Kind)
					case "id":
						return t.text(field, v, &r.ID)
					case "weight":
						return t.number(field, v, &r.Weight)
					}
					return false
				})
				s.Routes = append(s.Routes, r)
			})
		default:
			return false
		}
		return true
	})
	if t.err != nil {
		return fleet.Spec{}, t.err
	}
	if err := Validate(s); err != nil {
		return fleet.Spec{}, err
	}
	return s, nil
}

func (t *tree) quota(at string, v any, q *fleet.Quota) {
	t.fields(at, v, func(field, key string, v any) bool {
		switch key {
		case "rate":
			return t.number(field, v, &q.Rate)
		case "burst":
			return t.number(field, v, &q.Burst)
		case "classes":
			q.Classes = map[string]float64{}
			t.fields(field, v, func(field, key string, v any) bool {
				var n float64
				t.number(field, v, &n)
				q.Classes[key] = n
				return true
			})
			if len(q.Classes) == 0 {
				q.Classes = nil
			}
			return true
		}
		return false
	})
}
