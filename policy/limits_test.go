package policy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const (
	maxFileLines     = 400
	maxLineLength    = 110
	maxFunctionLines = 60
	minPolicyFiles   = 2
)

// interfaceFiles declare the types that callers use. They contain no decisions, so the deploy file does not name them.
var interfaceFiles = []string{"doc.go", "settings.go", "servers.go", "events.go", "actions.go", "fleet_events.go"}

// The deploy file must name every file with decisions, doc.go must name every file, and files, lines and functions must be short.
// The total number of lines is not limited, as the platform has withdrawn that limit.
func TestModuleLimits(t *testing.T) {
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	overview, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	deciding := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		checkFile(t, file)
		if file != "doc.go" && !strings.Contains(string(overview), file) {
			t.Errorf("doc.go doesn't name %s", file)
		}
		if slices.Contains(interfaceFiles, file) {
			continue
		}
		deciding++
		if !slices.Contains(deploy.Policy, "policy/"+file) {
			t.Errorf("the deploy file does not name %s under policy", file)
		}
	}
	if deciding != len(deploy.Policy) || deciding < minPolicyFiles {
		t.Errorf("%d files contain decisions, but the deploy file names %d", deciding, len(deploy.Policy))
	}
}

// checkFile checks the lengths of a file, its lines and its functions.
func checkFile(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) > maxFileLines {
		t.Errorf("%s has %d lines, want at most %d", file, len(lines), maxFileLines)
	}
	for i, line := range lines {
		if n := len([]rune(line)); n > maxLineLength {
			t.Errorf("%s: line %d is too long, with %d characters", file, i+1, n)
		}
	}
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range parsed.Decls {
		f, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		if n := fileSet.Position(f.End()).Line - fileSet.Position(f.Pos()).Line + 1; n > maxFunctionLines {
			t.Errorf("%s: function %s has %d lines, want at most %d", file, f.Name.Name, n, maxFunctionLines)
		}
	}
}
