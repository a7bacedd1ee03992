package membership

import (
	"math/rand/v2"
	"time"
)

// How often a member calls one that it takes for dead. memberlist itself gossips to the dead for 30 s only, and then
// only what is news: two sides of a split that have each taken the other for dead would stay apart for ever.
const rejoinEvery = 2 * time.Second

// rejoin calls a dead member or a seed now and then, until the member ends. Whoever answers learns that it was taken for dead,
// and refutes it.
func (g *Gossip) rejoin() {
	t := time.NewTicker(rejoinEvery)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
		}
		if addr := g.lost(); addr != "" {
			g.ml.Join([]string{addr}) // one that does not answer is tried again by chance
		}
	}
}

// lost picks the address of a dead member by chance; a seed where this member is alone; empty where there is none.
func (g *Gossip) lost() string {
	v := g.View()
	var dead []string
	for _, m := range v.Members {
		if m.State == Dead && m.Addr != "" {
			dead = append(dead, m.Addr)
		}
	}
	if v.Alive <= 1 {
		dead = append(dead, g.cfg.Seeds...)
	}
	if len(dead) == 0 {
		return ""
	}
	return dead[rand.IntN(len(dead))]
}
