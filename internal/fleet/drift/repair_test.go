package drift

import (
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/statetable"
)

const drift = "../../../docs/drift.md"

// repairCase is all that a repair's step depends on.
type repairCase struct {
	step     string
	tries    int
	shown    string
	over     bool
	relapsed bool
	rate     bool
	room     bool
	doubts   bool
	// waiting: its first wait has begun
	absent  bool
	waiting bool
}

func (c repairCase) run() (next, act string) {
	j, now := NewDetector(Defaults()), fleet.Time(time.Hour)
	n := j.addNode(now-time.Hour, fleet.Member{Node: "n"})
	n.verdict.state, n.verdict.differences = c.shown, []Difference{{Key: "zone/z"}}
	n.repair.Step = c.step
	n.repair.Resends = c.tries
	n.repair.waitUntil = now + 1
	if c.over {
		n.repair.waitUntil = now
	}
	n.repair.waiting = c.waiting
	if c.relapsed {
		n.repair.repairedAt = now - time.Second
	}
	if !c.rate {
		j.resends.nextAt, j.disruptive.nextAt = now+time.Hour, now+time.Hour
	}
	j.selfSuspecting = c.doubts
	outs, capacity := 1, 1
	if c.room {
		capacity = 2
	}
	if c.absent {
		n.repair.abandon()
	} else {
		act = j.advanceRepair(now, n, &outs, capacity)
	}
	if next = n.repair.Step; next == Idle {
		next = "idle"
	}
	return next, act
}

// Every row of the repair's table is run; and of all combinations of what a step depends on, none gives a
// transition that is in no row.
func TestRepairTable(t *testing.T) {
	rows, err := statetable.Table(drift, "Repair")
	must(t, err == nil, "%v", err)
	conditions := map[string]func(*repairCase){
		"":                                func(c *repairCase) {},
		"room in the rate":                func(c *repairCase) {},
		"no room in the rate":             func(c *repairCase) { c.rate = false },
		"first wait not over":             func(c *repairCase) { c.over = false },
		"relapsed, first wait not over":   func(c *repairCase) { c.relapsed, c.waiting = true, false },
		"the detector suspects itself":    func(c *repairCase) { c.doubts = true },
		"wait not over":                   func(c *repairCase) { c.over = false },
		"wait over, under 3 tries":        func(c *repairCase) { c.tries = 2 },
		"wait over, 3 tries":              func(c *repairCase) {},
		"wait over, room among those out": func(c *repairCase) {},
		"wait over, no room":              func(c *repairCase) { c.room = false },
		"in step for less than its wait":  func(c *repairCase) { c.over = false },
		"in step for its wait":            func(c *repairCase) {},
	}
	acts := map[string]string{"items re-sent": ActResend, "items re-sent, wait doubled": ActResend, "agent restarts": ActRestart,
		"not ready": ActTakeOut, "in front again": ActReturn, "relapse counted if it drifts again": ActRepaired}
	known := map[string]bool{}
	for _, row := range rows {
		set := conditions[row.Condition]
		must(t, set != nil, "%v: no test makes this so", row)
		from := []string{row.State}
		if row.State == "any" {
			from = []string{"idle", Resending, Restarting, TakenOut}
		}
		for _, step := range from {
			for _, shown := range map[string][]string{"drifts": {Stuck, Diverged, Ahead}, "mends": {InStep, Overridden}, "left": {Silent}}[row.Event] {
				c := repairCase{step: step, tries: 3, shown: shown, over: true, rate: true, room: true, absent: row.Event == "left", waiting: true}
				if c.step == "idle" {
					c.step = Idle
				}
				set(&c)
				if next, act := c.run(); next != row.Next || act != acts[row.Effect] {
					t.Errorf("%v: %+v gives %s, %q", row, c, next, act)
				}
			}
			known[step+"|"+row.Event+"|"+row.Next] = true
		}
	}
	bits := []bool{false, true}
	for _, step := range []string{Idle, Resending, Restarting, TakenOut} {
		for _, shown := range []string{Stuck, Diverged, Ahead, InStep, Overridden, CatchingUp, Silent} {
			for i := range 128 {
				c := repairCase{step, 1 + i%4, shown, bits[i>>1&1], bits[i>>2&1], bits[i>>3&1], bits[i>>4&1], bits[i>>5&1], false, bits[i>>6&1]}
				next, _ := c.run()
				from, event := step, "mends"
				if from == Idle {
					from = "idle"
				}
				if Drifts(shown) {
					event = "drifts"
				}
				if next != from && !known[from+"|"+event+"|"+next] {
					t.Errorf("%+v gives %s: no row", c, next)
				}
				must(t, next == from || !slices.Contains([]string{CatchingUp, Silent}, shown), "%+v moves", c)
			}
		}
	}
}
