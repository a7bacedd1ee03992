package capacity

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
)

// Format is the format of a slopes file that this build reads and writes.
const Format = 1

// Slopes are the measured costs from which the page's figures are computed.
type Slopes struct {
	Format int     `json:"format"`
	Commit string  `json:"commit"` // commit of the measured code
	Slopes []Slope `json:"slopes"`
}

// ID names one slope.
type ID string

// Slope is one cost: Value is the amount of Quantity in Unit for each Per; Low and High are its range over Repeats. A slope that
// has not been measured has no repeats and the value 0.
type Slope struct {
	ID       ID      `json:"id"`
	Role     Role    `json:"role"`
	Quantity string  `json:"quantity"`
	Per      string  `json:"per"`
	Value    float64 `json:"value"`
	Unit     Unit    `json:"unit"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
	Repeats  int     `json:"repeats"`
	Command  string  `json:"command"`  // command that measured the slope
	Exponent float64 `json:"exponent"` // exponent of a power law through the sizes; 0: not fitted
	// Largest is the largest size measured; 0: not a sweep. Beyond Largest, a cost with a superlinear exponent is extrapolated by
	// its power law. A flat cost is the same at every size as at Largest. Any other cost is Value times the size.
	Largest float64 `json:"largest,omitempty"`
	// Source is the page that states a slope without a benchmark; the page names the slope's commit.
	Source string `json:"source,omitempty"`
}

// superlinear is the exponent above which a cost is extrapolated by its power law.
const superlinear = 1.1

// flat is the exponent below which a cost counts as independent of the size: such growth comes from the depth of a tree or from
// noise.
const flat = 0.3

// Measured reports whether a run has measured the slope.
func (s Slope) Measured() bool { return s.Repeats > 0 }

// Flat reports whether the cost is independent of the size.
func (s Slope) Flat() bool { return s.Largest > 0 && s.Exponent < flat }

// At returns the cost at a size.
func (s Slope) At(size float64) float64 {
	if s.Flat() {
		return s.Value * s.Largest
	}
	if s.Exponent > superlinear && s.Largest > 0 && size > s.Largest {
		return s.Value * s.Largest * math.Pow(size/s.Largest, s.Exponent)
	}
	return s.Value * size
}

// ParseSlopes parses a slopes file that has every slope of the catalog. If commit is not empty, slopes of any other commit are an
// error. The error for an invalid file is one line that names the slope and the key.
func ParseSlopes(raw []byte, commit string) (Slopes, error) {
	out, err := ParsePartial(raw)
	if err != nil {
		return Slopes{}, err
	}
	if commit != "" && out.Commit != commit {
		return Slopes{}, invalid("slopes: commit: %q, want %q", out.Commit, commit)
	}
	for _, definition := range catalog {
		if out.Get(definition.id).ID == "" {
			return Slopes{}, invalid("slopes: %s: is missing", definition.id)
		}
	}
	return out, nil
}

// ParsePartial parses a slopes file in which slopes of the catalog may be missing, as in a file of an older build. Encode writes the
// missing slopes as not run.
func ParsePartial(raw []byte) (Slopes, error) {
	var out Slopes
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&out); err != nil {
		return Slopes{}, invalid("slopes: %w", err)
	}
	switch {
	case out.Format != Format:
		return Slopes{}, invalid("slopes: format: %d, this build reads %d", out.Format, Format)
	case out.Commit == "":
		return Slopes{}, invalid("slopes: commit: is missing")
	}
	seen := map[ID]bool{}
	for _, slope := range out.Slopes {
		if seen[slope.ID] {
			return Slopes{}, invalid("slopes: %s: is there twice", slope.ID)
		}
		seen[slope.ID] = true
		if err := slope.check(); err != nil {
			return Slopes{}, err
		}
	}
	return out, nil
}

func (s Slope) check() error {
	definition, ok := findDefinition(s.ID)
	if !ok {
		return invalid("slopes: %s: is unknown", s.ID)
	}
	switch {
	case s.Unit != definition.unit:
		return invalid("slopes: %s: unit: %q, must be %q", s.ID, s.Unit, definition.unit)
	case s.Per != definition.per:
		return invalid("slopes: %s: per: %q, must be %q", s.ID, s.Per, definition.per)
	case s.Role != definition.role:
		return invalid("slopes: %s: role: %q, must be %q", s.ID, s.Role, definition.role)
	case s.Repeats < 0:
		return invalid("slopes: %s: repeats: %d, must not be negative", s.ID, s.Repeats)
	case !(s.Value >= 0 && s.Value <= math.MaxFloat64):
		return invalid("slopes: %s: value: %g, must not be negative", s.ID, s.Value)
	case !(s.Low >= 0 && s.Low <= s.Value && s.Value <= s.High):
		return invalid("slopes: %s: value: %g is not between low, %g, and high, %g", s.ID, s.Value, s.Low, s.High)
	case s.Repeats == 0 && s.High != 0:
		return invalid("slopes: %s: repeats: is 0, and there is a value", s.ID)
	case s.Repeats > 0 && s.Command == "":
		return invalid("slopes: %s: command: is missing", s.ID)
	}
	return nil
}

// Get returns the slope with an id, or the zero Slope if there is none.
func (s Slopes) Get(id ID) Slope {
	i := slices.IndexFunc(s.Slopes, func(slope Slope) bool { return slope.ID == id })
	if i < 0 {
		return Slope{}
	}
	return s.Slopes[i]
}

// Encode returns a slopes file in the catalog's order.
func (s Slopes) Encode() ([]byte, error) {
	out := Slopes{Format: Format, Commit: s.Commit}
	for _, definition := range catalog {
		slope := s.Get(definition.id)
		slope.ID = definition.id
		slope.Role = definition.role
		slope.Quantity = definition.quantity
		slope.Per, slope.Unit = definition.per, definition.unit
		out.Slopes = append(out.Slopes, slope)
	}
	raw, err := json.MarshalIndent(out, "", "  ")
	return append(raw, '\n'), err
}
