package capacity

import (
	"fmt"
	"strings"
)

func marker(name string) (begin, end string) {
	return "<!-- capacity:" + name + " -->", "<!-- /capacity:" + name + " -->"
}

// Print returns every table, each below a heading with its name.
func Print(in Inputs) string {
	var b strings.Builder
	for _, t := range tables(in) {
		fmt.Fprintf(&b, "## %s\n\n%s\n", t.name, t.markdown())
	}
	return b.String()
}

// Render returns the page with every table inserted between its markers. A table without markers and markers without a table
// are errors that name the markers or count the tables.
func Render(page string, in Inputs) (string, error) {
	all := tables(in)
	for _, t := range all {
		begin, end := marker(t.name)
		if strings.Count(page, begin) != 1 || strings.Count(page, end) != 1 {
			return "", invalid("page: %s and %s: each must be there once", begin, end)
		}
		head, rest, _ := strings.Cut(page, begin)
		_, tail, ok := strings.Cut(rest, end)
		if !ok {
			return "", invalid("page: %s stands before %s", end, begin)
		}
		page = head + begin + "\n\n" + t.markdown() + "\n" + end + tail
	}
	if found := strings.Count(page, "<!-- capacity:"); found != len(all) {
		return "", invalid("page: %d tables are marked, there are %d", found, len(all))
	}
	return page, nil
}

// Check returns an error if the page's tables differ from those that the inputs give. The error names the first line that
// differs.
func Check(page string, in Inputs) error {
	want, err := Render(page, in)
	if err != nil {
		return err
	}
	if want == page {
		return nil
	}
	have, should := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range have {
		if i >= len(should) || have[i] != should[i] {
			return invalid("page: line %d is not what the inputs give; renew it with fleetlab capacity --write", i+1)
		}
	}
	return invalid("page: it ends before what the inputs give; renew it with fleetlab capacity --write")
}
