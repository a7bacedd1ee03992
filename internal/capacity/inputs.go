package capacity

import (
	"fmt"
	"os"
)

// Inputs are all that the page is rendered from.
type Inputs struct {
	Plan     Plan
	Slopes   Slopes
	Before   Slopes // of the build before the mechanism
	DataPath DataPath
}

// Files name the inputs. Commit, where it is not empty, is the only one whose slopes are taken.
type Files struct {
	Plan     string
	Slopes   string
	Before   string
	DataPath string
	Commit   string
}

// Read reads the inputs. An error is one line that names the file and the key.
func (f Files) Read() (in Inputs, err error) {
	text, err := os.ReadFile(f.Plan)
	if err != nil {
		return Inputs{}, err
	}
	if in.Plan, err = ParsePlan(string(text)); err != nil {
		return Inputs{}, fmt.Errorf("%s: %w", f.Plan, err)
	}
	raw, err := os.ReadFile(f.Slopes)
	if err != nil {
		return Inputs{}, err
	}
	if in.Slopes, err = ParseSlopes(raw, f.Commit); err != nil {
		return Inputs{}, fmt.Errorf("%s: %w", f.Slopes, err)
	}
	if raw, err = os.ReadFile(f.Before); err != nil {
		return Inputs{}, err
	}
	if in.Before, err = parseBefore(raw, in.Slopes.Commit); err != nil {
		return Inputs{}, fmt.Errorf("%s: %w", f.Before, err)
	}
	if raw, err = os.ReadFile(f.DataPath); err != nil {
		return Inputs{}, err
	}
	if in.DataPath, err = ParseDataPath(raw); err != nil {
		return Inputs{}, fmt.Errorf("%s: %w", f.DataPath, err)
	}
	return in, nil
}

// parseBefore reads the slopes of the build before, which must be of another commit than those of now.
func parseBefore(raw []byte, now string) (Slopes, error) {
	before, err := ParseSlopes(raw, "")
	if err != nil {
		return Slopes{}, err
	}
	if before.Commit == now {
		return Slopes{}, invalid("slopes: commit: %q is that of the slopes of now", now)
	}
	return before, nil
}
