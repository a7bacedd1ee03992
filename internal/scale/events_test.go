package scale

import (
	"strings"
	"testing"
	"testing/synctest"
)

const eventsPlan = `
dimension = "nodes"
sizes = [25, 50, 75, 100, 125]
repeats = 1
measure_s = 30
[base]
tenants = 200
changes_per_s = 2
[hollow]
nodes_per_process = 20
[[events]]
at_s = 20
do = "restart-replicas"
down_s = 3
[[events]]
at_s = 5
do = "burst"
count = 100
[[events]]
at_s = 10
do = "release"
part = 0.1
[[events]]
at_s = 15
do = "kill"
count = 25
down_s = 2
`

func TestEventsAreCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		r := f.runSweep(t, t.Context(), eventsPlan)
		if r.Partial != "" {
			t.Fatal(r.Partial)
		}
		nodes := 25 + 50 + 75 + 100 + 125
		if want := nodes + 5*25; f.killed != want || f.restarts != want {
			t.Errorf("%d nodes killed, %d started again, want %d", f.killed, f.restarts, want)
		}
		for _, point := range r.Points {
			repeat := point.Repeats[0]
			if repeat.Values[BurstP99] <= 0 || repeat.Values[ReleaseTime] <= 0 {
				t.Errorf("size %v: %v", point.Size, repeat.Values)
			}
			if _, ok := repeat.Values[RecoveryTime]; !ok {
				t.Errorf("size %v: no recovery time", point.Size)
			}
			if _, ok := repeat.Values[LeaderCPU]; ok {
				t.Errorf("size %v: metrics of a leader that was restarted", point.Size)
			}
			if repeat.Restarts != int(point.Size)+25 || repeat.Changes < 50 {
				t.Errorf("size %v: %d restarts, %d changes", point.Size, repeat.Restarts, repeat.Changes)
			}
		}
	})
}

func TestBurstRetriesTenantsInRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		f.conflicts = 150
		r := f.runSweep(t, t.Context(), eventsPlan)
		if r.Partial != "" {
			t.Fatal(r.Partial)
		}
		if rejected := r.Points[0].Repeats[0].Refused; rejected != 7 {
			t.Errorf("%d changes refused, want 7, after 20 attempts each", rejected)
		}
	})
}

func TestBadEvents(t *testing.T) {
	rows := []struct{ event, want string }{
		{`at_s = 1`, `events[0].do: "" is not one of`},
		{`at_s = 1` + "\n" + `do = "explode"`, `events[0].do: "explode" is not one of`},
		{`at_s = -1` + "\n" + `do = "release"` + "\npart = 0.1", "events[0].at_s: -1 is not within"},
		{`at_s = 10` + "\n" + `do = "release"` + "\npart = 0.1", "events[0].at_s: 10 is not within the window of 10 s"},
		{`do = "release"`, "events[0].part: 0 is not above 0"},
		{`do = "release"` + "\npart = 1.5", "events[0].part: 1.5"},
		{`do = "burst"`, "events[0].count: 0 is not within 1 to the 50 tenants"},
		{`do = "burst"` + "\ncount = 51", "events[0].count: 51"},
		{`do = "kill"` + "\ncount = 9", "events[0].count: 9 is not within 1 to the 8 nodes"},
		{`do = "kill"` + "\ncount = 1\ndown_s = 1e6", "events[0].down_s: 1e+06"},
		{`do = "burst"` + "\ncuont = 1", "unknown key"},
	}
	for _, row := range rows {
		p, err := ParsePlan("x", []byte(validPlan+"[[events]]\n"+row.event+"\n"))
		if err == nil || !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %+v, %v, want one line with %q", row.event, p, err, row.want)
		}
	}
}
