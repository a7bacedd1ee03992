// Package statetable reads the state tables of the design pages, so that tests can run every row against the core that
// it describes and fail where page and code differ.
package statetable

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/yuin/goldmark"
	"github.com/yuin/goldmark/ast"
	"github.com/yuin/goldmark/extension"
	extast "github.com/yuin/goldmark/extension/ast"
	"github.com/yuin/goldmark/text"
)

// Header is the header row of a state table, in order.
var Header = []string{"state", "event", "condition", "next", "effect"}

// Row is one row of a state table, as plain text without markup. Line is its line in the page, from 1.
type Row struct {
	State     string
	Event     string
	Condition string
	Next      string
	Effect    string
	Line      int
}

// String returns the row as tests print it.
func (r Row) String() string {
	return fmt.Sprintf("line %d: %s | %s | %s -> %s", r.Line, r.State, r.Event, r.Condition, r.Next)
}

// Table reads the rows of the state table in the named section of the markdown file at path: the first table whose
// header row is Header, below the heading with exactly that text and before the next heading of the same or a higher level.
// A missing file, section or table and an incomplete row are errors.
func Table(path, section string) ([]Row, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	rows, err := parse(src, section)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return rows, nil
}

func parse(src []byte, section string) ([]Row, error) {
	doc := goldmark.New(goldmark.WithExtensions(extension.Table)).Parser().Parse(text.NewReader(src))
	level := 0 // level of the section's heading, 0 until it is found
	for n := doc.FirstChild(); n != nil; n = n.NextSibling() {
		if h, ok := n.(*ast.Heading); ok {
			if level > 0 && h.Level <= level {
				break
			}
			if level == 0 && plainText(h, src) == section {
				level = h.Level
			}
		}
		if t, ok := n.(*extast.Table); ok && level > 0 && slices.Equal(cells(t.FirstChild(), src), Header) {
			return rows(t, src)
		}
	}
	if level == 0 {
		return nil, fmt.Errorf("no section %q", section)
	}
	return nil, fmt.Errorf("section %q has no table with the head %s", section, strings.Join(Header, ", "))
}

func rows(t *extast.Table, src []byte) ([]Row, error) {
	var out []Row
	for n := t.FirstChild().NextSibling(); n != nil; n = n.NextSibling() {
		c, line := cells(n, src), lineOf(n, src)
		if len(c) != len(Header) || c[0] == "" || c[1] == "" || c[3] == "" {
			return nil, fmt.Errorf("line %d: a row needs a state, an event and a next state", line)
		}
		out = append(out, Row{c[0], c[1], c[2], c[3], c[4], line})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the table on line %d has no rows", lineOf(t.FirstChild(), src))
	}
	return out, nil
}

func cells(row ast.Node, src []byte) []string {
	var out []string
	for c := row.FirstChild(); c != nil; c = c.NextSibling() {
		out = append(out, plainText(c, src))
	}
	return out
}

// plainText returns the text of a node without markup, trimmed.
func plainText(n ast.Node, src []byte) string {
	var b strings.Builder
	ast.Walk(n, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if t, ok := n.(*ast.Text); ok && entering {
			b.Write(t.Segment.Value(src))
			if t.SoftLineBreak() {
				b.WriteByte(' ')
			}
		}
		return ast.WalkContinue, nil
	})
	return strings.TrimSpace(b.String())
}

// lineOf returns the line of the first text below n.
func lineOf(n ast.Node, src []byte) (line int) {
	ast.Walk(n, func(n ast.Node, entering bool) (ast.WalkStatus, error) {
		if t, ok := n.(*ast.Text); ok && line == 0 {
			line = 1 + strings.Count(string(src[:t.Segment.Start]), "\n")
		}
		return ast.WalkContinue, nil
	})
	return line
}
