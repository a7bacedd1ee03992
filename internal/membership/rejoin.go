package membership

import (
	"math/rand/v2"
	"time"
)

// rejoinInterval is the time between attempts to reach a member that is considered dead. memberlist gossips to dead members
// for 30 s only, and sends them only what has changed. Without these attempts, two sides of a network split that each
// consider the other dead would never join again.
const rejoinInterval = 2 * time.Second

// rejoin contacts a dead member or a seed every rejoinInterval until this member ends. A member that answers learns that it
// is considered dead, and refutes that.
func (g *Gossip) rejoin() {
	t := time.NewTicker(rejoinInterval)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
		}
		if addr := g.rejoinAddress(); addr != "" {
			g.ml.Join([]string{addr}) // an error needs no handling: a later round may pick the same address again
		}
	}
}

// rejoinAddress picks a random address among those of the dead members and, if no other member is alive, the seeds. It returns
// the empty string if there are none.
func (g *Gossip) rejoinAddress() string {
	v := g.View()
	var candidates []string
	for _, m := range v.Members {
		if m.State == Dead && m.Addr != "" {
			candidates = append(candidates, m.Addr)
		}
	}
	if v.Alive <= 1 {
		candidates = append(candidates, g.cfg.Seeds...)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}
