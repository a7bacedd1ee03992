package statetable

import (
	"strings"
	"testing"
)

const sample = `# A page

## One

| other | table |
| --- | --- |
| a | b |

| state | event | condition | next | effect |
| --- | --- | --- | --- | --- |
| ` + "`left`" + ` | **lost** | | left | a, b |
| left | quiet | over | probation | |

## Two

### Below two

| state | event | condition | next | effect |
| --- | --- | --- | --- | --- |
| x | y | | | z |

## Three
`

func TestParse(t *testing.T) {
	got, err := parse([]byte(sample), "One")
	if err != nil {
		t.Fatal(err)
	}
	want := []Row{{"left", "lost", "", "left", "a, b", 11}, {"left", "quiet", "over", "probation", "", 12}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for section, wantErr := range map[string]string{"Two": "line 20", "Three": "no table", "Four": "no section"} {
		if _, err := parse([]byte(sample), section); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("section %s: %v, want %q", section, err, wantErr)
		}
	}
	for _, section := range []string{"Sessions", "Zones", "Tenants"} {
		if rows, err := Table("../../../docs/fleet.md", section); err != nil || len(rows) < 5 {
			t.Errorf("docs/fleet.md %s: %d rows, %v", section, len(rows), err)
		}
	}
}
