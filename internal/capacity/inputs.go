package capacity

import (
	"fmt"
	"os"
)

// Inputs are all the data from which the page is rendered.
type Inputs struct {
	Plan     Plan
	Slopes   Slopes
	Before   Slopes // measured on the build before the current mechanisms
	DataPath DataPath
}

// Files holds the paths of the inputs. If Commit is not empty, slopes of any other commit are an error.
type Files struct {
	Plan     string
	Slopes   string
	Before   string
	DataPath string
	Commit   string
}

// Read reads the inputs. An error about their content is one line that names the file and the key.
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

// parseBefore parses the slopes of the earlier build, whose commit must differ from that of the current slopes.
func parseBefore(raw []byte, currentCommit string) (Slopes, error) {
	before, err := ParseSlopes(raw, "")
	if err != nil {
		return Slopes{}, err
	}
	if before.Commit == currentCommit {
		return Slopes{}, invalid("slopes: commit: %q is that of the slopes of now", currentCommit)
	}
	return before, nil
}
