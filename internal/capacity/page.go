package capacity

import (
	"fmt"
	"strings"
)

func marker(name string) (begin, end string) {
	return "<!-- capacity:" + name + " -->", "<!-- /capacity:" + name + " -->"
}

// Print gives every table under its name.
func Print(in Inputs) string {
	var b strings.Builder
	for _, t := range tables(in) {
		fmt.Fprintf(&b, "## %s\n\n%s\n", t.name, t.markdown())
	}
	return b.String()
}

// Render puts every table in the place that its markers hold in the page. A table without its markers, or markers without a
// table, are an error that names them; then the page is not changed.
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

// Check says whether the page has the tables that the inputs give. The error names the first line that differs.
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
