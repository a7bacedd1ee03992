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

// interfaceFiles define the types that callers use; they decide nothing.
var interfaceFiles = []string{"doc.go", "settings.go", "servers.go", "events.go", "actions.go", "fleet_events.go"}

// The deploy file names every file that decides, and the module stays readable: short files, lines and functions. It had a
// limit on its lines in all as well, which the platform has withdrawn.
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
			t.Errorf("%s is not named under policy in the deploy file", file)
		}
	}
	if deciding != len(deploy.Policy) || deciding < minPolicyFiles {
		t.Errorf("%d files decide, the deploy file names %d", deciding, len(deploy.Policy))
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
		t.Errorf("%s has %d lines, %d at most", file, len(lines), maxFileLines)
	}
	for i, line := range lines {
		if n := len([]rune(line)); n > maxLineLength {
			t.Errorf("%s: line %d is %d characters long", file, i+1, n)
		}
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range parsed.Decls {
		f, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		if n := files.Position(f.End()).Line - files.Position(f.Pos()).Line + 1; n > maxFunctionLines {
			t.Errorf("%s: %s has %d lines, %d at most", file, f.Name.Name, n, maxFunctionLines)
		}
	}
}
