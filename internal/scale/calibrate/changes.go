package calibrate

import (
	"errors"
	"sync"
	"time"

	"meadowsill/internal/lab/discoverylab"
)

// changes are those of the second window: a tenant's next generation at every turn, and a server replaced at every second one.
// Each goes on by itself, so that turns come at their times however long a change takes.
type changes struct {
	run  *run
	open sync.WaitGroup

	mu       sync.Mutex
	busy     map[int]bool // by tenant
	took     []time.Duration
	skipped  int
	replaced int
	err      error
}

// make begins the changes of a turn.
func (c *changes) make(turn int) error {
	c.open.Go(func() { c.roll(turn % c.run.plan.Tenants) })
	if server := turn / 2; turn%2 == 0 && server < c.run.plan.Servers {
		c.open.Go(func() {
			err := c.run.servers.Replace(server, 1)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.replaced++
			c.err = errors.Join(c.err, err)
		})
	}
	return nil
}

// roll puts a tenant's next generation, unless its last one is not over.
func (c *changes) roll(tenant int) {
	c.mu.Lock()
	if c.busy == nil {
		c.busy = map[int]bool{}
	}
	if c.busy[tenant] {
		c.skipped++
		c.mu.Unlock()
		return
	}
	c.busy[tenant] = true
	c.mu.Unlock()
	took, err := c.run.roll(tenant)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, tenant)
	c.took = append(c.took, took)
	c.err = errors.Join(c.err, err)
}

// finish waits for the changes that are open and puts what came of all into the window's rates.
func (c *changes) finish(rates *Rates) error {
	c.open.Wait()
	rates.Changes = len(c.took)
	rates.Skipped = c.skipped
	rates.Replaced = c.replaced
	rates.InForceP50MS, rates.InForceMaxMS = ms(discoverylab.Quantile(c.took, 0.5)), ms(discoverylab.Quantile(c.took, 1))
	return c.err
}
