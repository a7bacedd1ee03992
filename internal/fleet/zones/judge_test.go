package zones

import (
	"testing"
	"time"

	"starlingvalve/internal/fleet"
)

// TestLossAndReturn: a zone is lost and comes back, in order and with its figures.
func TestLossAndReturn(t *testing.T) {
	w := newWorld(t, 1, 10, "a", "b", "c")
	if w.run(10*time.Second, func() bool { return len(w.steps) > 0 }) {
		t.Fatalf("left with no fault: %v", w.steps)
	}
	lostAt := w.now
	w.kill("a")
	w.until("leave", 2*time.Second, func() bool { return w.phase("zone/a") == fleet.Left })
	t.Logf("loss to directive %v, share %g", w.now-lostAt, w.s.Directives["zone/a"].Share)
	w.run(12*time.Second, nil)
	w.heal()
	w.until("return", time.Minute, func() bool { return w.phase("zone/a") == fleet.Serving })
	t.Log(w.steps)
}
