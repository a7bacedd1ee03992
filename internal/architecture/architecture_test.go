package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root       = "../.."
	page       = root + "/docs/ARCHITECTURE.md"
	modulePath = "meadowsill/"
)

// tableRows returns the cells of every row of the page's tables that have this header line. It removes the backticks in them.
func tableRows(t *testing.T, header string) [][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	inTable := false
	for line := range strings.SplitSeq(string(text), "\n") {
		switch {
		case line == header:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			cells := strings.Split(strings.Trim(line, "|"), "|")
			for i, cell := range cells {
				cells[i] = strings.TrimSpace(strings.ReplaceAll(cell, "`", ""))
			}
			rows = append(rows, cells)
		}
	}
	if len(rows) == 0 {
		t.Fatalf("the page has no table with the header %q", header)
	}
	return rows
}

// parsePackage parses the files of a package except its test files.
func parsePackage(t *testing.T, dir string, mode parser.Mode) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, mode)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// functionNames returns the names of the functions of a package, and those of its methods as Type.Method.
func functionNames(t *testing.T, dir string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, file := range parsePackage(t, dir, parser.SkipObjectResolution) {
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			name := function.Name.Name
			if function.Recv != nil {
				receiver := function.Recv.List[0].Type
				if pointer, ok := receiver.(*ast.StarExpr); ok {
					receiver = pointer.X
				}
				if ident, ok := receiver.(*ast.Ident); ok {
					name = ident.Name + "." + name
				}
			}
			names[name] = true
		}
	}
	return names
}

func TestStepTablesNameExistingFunctions(t *testing.T) {
	for _, row := range tableRows(t, "| step | package | function |") {
		step, dir, function := row[0], row[1], row[2]
		if !functionNames(t, dir)[function] {
			t.Errorf("%s: package %s has no function %s", step, dir, function)
		}
	}
}

// projectPackages returns the sorted directories that contain a package of the project.
func projectPackages(t *testing.T) []string {
	t.Helper()
	packages := map[string]bool{}
	for _, top := range []string{"cmd", "internal", "lab", "policy"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "testdata") {
				return err
			}
			dir, err := filepath.Rel(root, filepath.Dir(path))
			packages[filepath.ToSlash(dir)] = true
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	var sorted []string
	for dir := range packages {
		sorted = append(sorted, dir)
	}
	slices.Sort(sorted)
	return sorted
}

// projectImports returns the sorted directories of the project's packages that a package imports.
func projectImports(t *testing.T, dir string) []string {
	t.Helper()
	imports := map[string]bool{}
	for _, file := range parsePackage(t, dir, parser.ImportsOnly) {
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if name, ok := strings.CutPrefix(path, modulePath); ok {
				imports[name] = true
			}
		}
	}
	var sorted []string
	for name := range imports {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

func TestPackageMap(t *testing.T) {
	layers := map[string]int{}
	listed := map[string][]string{}
	for _, row := range tableRows(t, "| layer | package | what it is | imports |") {
		layer, err := strconv.Atoi(row[0])
		if err != nil {
			t.Fatal(err)
		}
		layers[row[1]] = layer
		listed[row[1]] = nil
		for name := range strings.SplitSeq(row[3], ",") {
			if name = strings.TrimSpace(name); name != "" {
				listed[row[1]] = append(listed[row[1]], name)
			}
		}
	}
	packages := projectPackages(t)
	for _, dir := range packages {
		want, ok := listed[dir]
		if !ok {
			t.Errorf("the package map lacks %s", dir)
			continue
		}
		imports := projectImports(t, dir)
		if !slices.Equal(imports, want) {
			t.Errorf("%s imports %v, but the package map lists %v", dir, imports, want)
		}
		for _, name := range imports {
			if layers[name] >= layers[dir] {
				t.Errorf("%s in layer %d imports %s, which is in layer %d and not in a lower one", dir, layers[dir], name, layers[name])
			}
		}
	}
	for dir := range listed {
		if !slices.Contains(packages, dir) {
			t.Errorf("the package map lists %s, which does not exist", dir)
		}
	}
}

// impureImports are packages of the standard library that a pure package must not import.
var impureImports = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "sync", "log", "log/slog"}

func TestPurePackagesDoNoIO(t *testing.T) {
	pure := 0
	for _, row := range tableRows(t, "| layer | package | what it is | imports |") {
		if !strings.HasSuffix(row[2], "; pure") {
			continue
		}
		pure++
		for _, file := range parsePackage(t, row[1], parser.ImportsOnly) {
			for _, spec := range file.Imports {
				path, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				if slices.Contains(impureImports, path) {
					t.Errorf("%s is marked as pure but imports %s", row[1], path)
				}
			}
		}
	}
	if pure < 10 {
		t.Errorf("the package map marks %d packages as pure, want at least 10", pure)
	}
}
