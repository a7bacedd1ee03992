// Package ci tests .ci/known-red, which runs the tests and passes over those that KNOWN-RED.txt names.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// moduleFiles are the files of a module with two packages, by path. Package a has a test that fails and one that passes; package b
// has a test with the name of the failing one, which passes.
var moduleFiles = map[string]string{
	"go.mod":      "module m\n\ngo 1.25\n",
	"a/a_test.go": "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error(\"it is red\") }\nfunc TestRedder(t *testing.T) {}\n",
	"b/b_test.go": "package b\nimport \"testing\"\nfunc TestRed(t *testing.T) {}\n",
}

// runKnownRed runs .ci/known-red on moduleFiles, with extraFiles added or in their place. It returns the output and whether the script
// failed.
func runKnownRed(t *testing.T, extraFiles map[string]string) (string, bool) {
	t.Helper()
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, files := range []map[string]string{moduleFiles, extraFiles} {
		for name, text := range files {
			path := filepath.Join(dir, name)
			if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	cmd := exec.Command(script, "go", "test", "-vet=off", "./...")
	cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOFLAGS=-count=1", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err != nil
}

// Only the tests that KNOWN-RED.txt names don't count. They run all the same, and their outcome is printed. Every other failure
// is a failure of the whole run, as it is without the file.
func TestKnownRed(t *testing.T) {
	t.Parallel()
	const red = "a TestRed | it always fails | #22\n"
	for name, c := range map[string]struct {
		extraFiles map[string]string
		fails      bool
		want       []string
	}{
		"no file":        {nil, true, []string{"--- FAIL: TestRed", "FAIL\tm/a", "ok  \tm/b"}},
		"named":          {map[string]string{"KNOWN-RED.txt": red}, false, []string{"ok  \tm/a", "ok  \tm/b", "known red: " + red, "TestRed fails", "it is red"}},
		"no newline":     {map[string]string{"KNOWN-RED.txt": strings.TrimSpace(red)}, false, []string{"ok  \tm/a"}},
		"passing test":   {map[string]string{"KNOWN-RED.txt": red + "b TestRed | once | #22\n"}, false, []string{"TestRed fails", "TestRed passes"}},
		"other package":  {map[string]string{"KNOWN-RED.txt": "b TestRed | once | #22\n"}, true, []string{"FAIL\tm/a", "ok  \tm/b"}},
		"longer name":    {map[string]string{"KNOWN-RED.txt": "a TestRedder | once | #22\n"}, true, []string{"--- FAIL: TestRed", "TestRedder passes"}},
		"does not build": {map[string]string{"KNOWN-RED.txt": red, "b/b.go": "package b\nvar x int = \"\"\n"}, true, []string{"build failed"}},
		"panic": {map[string]string{"KNOWN-RED.txt": red, "b/b_test.go": "package b\nimport \"testing\"\nfunc TestP(t *testing.T) { panic(1) }\n"},
			true, []string{"panic: 1", "FAIL\tm/b"}},
		"test binary fails": {map[string]string{"KNOWN-RED.txt": red, "a/main_test.go": "package a\nimport (\"os\"; \"testing\")\nfunc TestMain(m *testing.M) { m.Run(); os.Exit(3) }\n"},
			true, []string{"the tests of a can't be listed"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, failed := runKnownRed(t, c.extraFiles)
			if failed != c.fails {
				t.Errorf("failed: %v, want %v", failed, c.fails)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("the output lacks %q", want)
				}
			}
			if t.Failed() {
				t.Log(out)
			}
		})
	}
}

// A KNOWN-RED.txt that isn't a list of at most three tests, each with cause and issue, fails with a message that says why, and no test
// runs.
func TestKnownRedBadFile(t *testing.T) {
	t.Parallel()
	const good = "b TestRed | once | #22\n"
	for text, want := range map[string]string{
		strings.Repeat(good, 4):          "has 4 lines",
		good + "\n":                      "line 2 is not",
		"b TestRed\n":                    "line 1 is not",
		"b TestRed | once\n":             "line 1 is not",
		"b TestRed | | #22\n":            "line 1 is not",
		"b TestRed |   | #22\n":          "has no cause",
		"b TestRed | a | b | #22\n":      "line 1 is not",
		"b TestRed | once | soon\n":      "not a number",
		"b TestRed | once | #22\r\n":     "not a number",
		"TestRed | once | #22\n":         "not a package and a top-level test",
		"b TestRed/sub | once | #22\n":   "not a package and a top-level test",
		"b Test.* | once | #22\n":        "not a package and a top-level test",
		"b TestNone | once | #22\n":      "there is no test TestNone in b",
		"none TestRed | once | #22\n":    "there is no package none",
		"../b TestRed | once | #22\n":    "there is no package ../b",
		"./... TestRed | once | #22\n":   "there is no package",
		"fmt TestRed | once | #22\n":     "there is no package fmt",
		"a\" TestRed | $(id) | #22\n":    "not a package and a top-level test",
		"b TestRed -x | once | #22\n":    "not a package and a top-level test",
		"\x00\xff TestRed | once | #2\n": "line 1 is not",
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			out, failed := runKnownRed(t, map[string]string{"KNOWN-RED.txt": text})
			if !failed || !strings.Contains(out, "KNOWN-RED.txt: ") || !strings.Contains(out, want) || strings.Contains(out, "ok  \t") {
				t.Errorf("%q: failed %v, want a failure with %q: %s", text, failed, want, out)
			}
		})
	}
}

// README.md and .ci/run name the same test command.
func TestOneCommand(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"../../README.md", "../../.ci/run"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), "go test -race -count=1 -timeout 15m ./...\n") {
			t.Errorf("%s does not name the test command", path)
		}
	}
}
