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

// maxDepth is the maximum nesting depth of a JSON body; the schema needs 3.
const maxDepth = 8

// ParseTOML parses a tenant file and validates it completely. Errors are of type *FieldError with the field and its line.
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
	spec, err := readSpec(tree)
	var fe *FieldError
	if errors.As(err, &fe) {
		fe.Line = lineOf(string(data), fe.Field)
	}
	return spec, err
}

// ParseJSON parses a specification from JSON and validates it completely. Errors are of type *FieldError with the field's path.
func ParseJSON(data []byte) (fleet.Spec, error) {
	tree, err := decodeJSON(data)
	if err != nil {
		return fleet.Spec{}, err
	}
	return readSpec(tree)
}

// ParseProposal parses the body of PUT /fleet/v1/tenants/NAME, {"generation": G, "spec": SPEC}: the generation that the
// operator read (0: none) and the specification, which it validates completely. Paths of its fields begin with "spec.".
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
	spec, err = readSpec(inner)
	var fe *FieldError
	if errors.As(err, &fe) {
		fe.Field = strings.TrimSuffix(joinPath("spec", fe.Field), ".")
	}
	return uint64(g), spec, err
}

// decodeJSON decodes one JSON object. Numbers become float64.
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

// readJSON reads one value token by token, so that a duplicate key is an error; json.Unmarshal would use the last one.
func readJSON(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fieldError(path, "is nested too deep")
	}
	tok, err := dec.Token()
	if err != nil {
		return nil, fieldError(path, "is no JSON: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	switch t := tok.(type) {
	case json.Delim:
		if t == '[' {
			list := []any{}
			for dec.More() {
				v, err := readJSON(dec, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
				if err != nil {
					return nil, err
				}
				list = append(list, v)
			}
			return list, readClosingDelim(dec, path)
		}
		m := map[string]any{}
		for dec.More() {
			k, err := dec.Token()
			key, ok := k.(string)
			if err != nil || !ok {
				return nil, fieldError(path, "is no JSON: a key must be a string")
			}
			if _, duplicate := m[key]; duplicate {
				return nil, fieldError(joinPath(path, key), "is given twice")
			}
			v, err := readJSON(dec, joinPath(path, key), depth+1)
			if err != nil {
				return nil, err
			}
			m[key] = v
		}
		return m, readClosingDelim(dec, path)
	case json.Number:
		f, err := t.Float64()
		if err != nil {
			return nil, fieldError(path, "must be a finite number")
		}
		return f, nil
	}
	return tok, nil
}

func readClosingDelim(dec *json.Decoder, path string) error {
	if _, err := dec.Token(); err != nil {
		return fieldError(path, "is no JSON: it has no end")
	}
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// treeReader reads a specification from a decoded TOML or JSON tree by the schema and keeps the first error.
type treeReader struct{ err error }

func (t *treeReader) fail(field, format string, args ...any) {
	if t.err == nil {
		t.err = fieldError(field, format, args...)
	}
}

// fields calls each for every key of the table v, in order. each reports whether the key is known.
func (t *treeReader) fields(path string, v any, each func(field, key string, v any) bool) {
	m, ok := v.(map[string]any)
	if !ok {
		t.fail(path, "must be a table")
		return
	}
	for _, k := range sortedKeys(m) {
		if !each(joinPath(path, k), k, m[k]) {
			t.fail(joinPath(path, k), "is not known")
		}
	}
}

func (t *treeReader) text(field string, v any, to *string) bool {
	s, ok := v.(string)
	if !ok {
		t.fail(field, "must be a string")
	}
	*to = s
	return true
}

func (t *treeReader) number(field string, v any, to *float64) bool {
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

func (t *treeReader) list(field string, v any, each func(field string, v any)) bool {
	switch l := v.(type) {
	case []any:
		for i, v := range l {
			each(fmt.Sprintf("%s[%d]", field, i), v)
		}
	case []map[string]any: // an array of tables in TOML
		for i, v := range l {
			each(fmt.Sprintf("%s[%d]", field, i), v)
		}
	default:
		t.fail(field, "must be a list")
	}
	return true
}

func readSpec(m map[string]any) (fleet.Spec, error) {
	var s fleet.Spec
	var t treeReader
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

func (t *treeReader) quota(path string, v any, q *fleet.Quota) {
	t.fields(path, v, func(field, key string, v any) bool {
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
