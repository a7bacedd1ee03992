package drift

import (
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/statetable"
)

const driftPage = "../../../docs/drift.md"

// repairCase contains all inputs of a repair step.
type repairCase struct {
	step         string
	resendCount  int
	nodeState    string
	waitOver     bool
	relapsed     bool
	rateAllows   bool
	hasRoom      bool
	suspectsSelf bool
	// waiting: the first wait has begun
	absent  bool
	waiting bool
}

func (c repairCase) run() (next, action string) {
	det, now := NewDetector(Defaults()), fleet.Time(time.Hour)
	n := det.addNode(now-time.Hour, fleet.Member{Node: "n"})
	n.verdict.state, n.verdict.differences = c.nodeState, []Difference{{Key: "zone/z"}}
	n.repair.Step = c.step
	n.repair.Resends = c.resendCount
	n.repair.waitUntil = now + 1
	if c.waitOver {
		n.repair.waitUntil = now
	}
	n.repair.waiting = c.waiting
	if c.relapsed {
		n.repair.repairedAt = now - time.Second
	}
	if !c.rateAllows {
		det.resends.nextAt, det.disruptive.nextAt = now+time.Hour, now+time.Hour
	}
	det.selfSuspecting = c.suspectsSelf
	takenOut, maxTakenOut := 1, 1
	if c.hasRoom {
		maxTakenOut = 2
	}
	if c.absent {
		n.repair.abandon()
	} else {
		action = det.advanceRepair(now, n, &takenOut, maxTakenOut)
	}
	if next = n.repair.Step; next == Idle {
		next = "idle"
	}
	return next, action
}

// The test runs every row of the repair table in docs/drift.md. It also checks that no combination of a step's inputs
// gives a transition that is in no row.
func TestRepairTable(t *testing.T) {
	rows, err := statetable.Table(driftPage, "Repair")
	must(t, err == nil, "%v", err)
	conditions := map[string]func(*repairCase){
		"":                                func(c *repairCase) {},
		"room in the rate":                func(c *repairCase) {},
		"no room in the rate":             func(c *repairCase) { c.rateAllows = false },
		"first wait not over":             func(c *repairCase) { c.waitOver = false },
		"relapsed, first wait not over":   func(c *repairCase) { c.relapsed, c.waiting = true, false },
		"the detector suspects itself":    func(c *repairCase) { c.suspectsSelf = true },
		"wait not over":                   func(c *repairCase) { c.waitOver = false },
		"wait over, under 3 tries":        func(c *repairCase) { c.resendCount = 2 },
		"wait over, 3 tries":              func(c *repairCase) {},
		"wait over, room among those out": func(c *repairCase) {},
		"wait over, no room":              func(c *repairCase) { c.hasRoom = false },
		"in step for less than its wait":  func(c *repairCase) { c.waitOver = false },
		"in step for its wait":            func(c *repairCase) {},
	}
	actions := map[string]string{"items re-sent": ActResend, "items re-sent, wait doubled": ActResend, "agent restarts": ActRestart,
		"not ready": ActTakeOut, "in front again": ActReturn, "relapse counted if it drifts again": ActRepaired}
	inTable := map[string]bool{}
	for _, row := range rows {
		setUp := conditions[row.Condition]
		must(t, setUp != nil, "%v: no test sets up this condition", row)
		from := []string{row.State}
		if row.State == "any" {
			from = []string{"idle", Resending, Restarting, TakenOut}
		}
		for _, step := range from {
			for _, nodeState := range map[string][]string{"drifts": {Stuck, Diverged, Ahead}, "mends": {InStep, Overridden}, "left": {Silent}}[row.Event] {
				c := repairCase{step: step, resendCount: 3, nodeState: nodeState, waitOver: true, rateAllows: true, hasRoom: true, absent: row.Event == "left", waiting: true}
				if c.step == "idle" {
					c.step = Idle
				}
				setUp(&c)
				if next, action := c.run(); next != row.Next || action != actions[row.Effect] {
					t.Errorf("%v: %+v: next step %s, action %q", row, c, next, action)
				}
			}
			inTable[step+"|"+row.Event+"|"+row.Next] = true
		}
	}
	bools := []bool{false, true}
	for _, step := range []string{Idle, Resending, Restarting, TakenOut} {
		for _, nodeState := range []string{Stuck, Diverged, Ahead, InStep, Overridden, CatchingUp, Silent} {
			for i := range 128 {
				c := repairCase{step, 1 + i%4, nodeState, bools[i>>1&1], bools[i>>2&1], bools[i>>3&1], bools[i>>4&1], bools[i>>5&1], false, bools[i>>6&1]}
				next, _ := c.run()
				from, event := step, "mends"
				if from == Idle {
					from = "idle"
				}
				if Drifts(nodeState) {
					event = "drifts"
				}
				if next != from && !inTable[from+"|"+event+"|"+next] {
					t.Errorf("%+v: next step %s is in no row", c, next)
				}
				must(t, next == from || !slices.Contains([]string{CatchingUp, Silent}, nodeState), "%+v: the step changed", c)
			}
		}
	}
}
