package calibrate

import (
	"errors"
	"sync"
	"time"

	"meadowsill/internal/lab/discoverylab"
)

// changeRunner makes the changes of the second window: it puts a tenant's next generation at every turn, and replaces a server at
// every second one. Each change runs in its own goroutine, so that the turns stay on time however long a change takes.
type changeRunner struct {
	measurement *measurement
	running     sync.WaitGroup

	mu         sync.Mutex
	inProgress map[int]bool // tenants whose change is not over, by number
	took       []time.Duration
	skipped    int
	replaced   int
	err        error
}

// make starts the changes of a turn.
func (c *changeRunner) make(turn int) error {
	c.running.Go(func() { c.rollOut(turn % c.measurement.plan.Tenants) })
	if server := turn / 2; turn%2 == 0 && server < c.measurement.plan.Servers {
		c.running.Go(func() {
			err := c.measurement.servers.Replace(server, 1)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.replaced++
			c.err = errors.Join(c.err, err)
		})
	}
	return nil
}

// rollOut puts a tenant's next generation, unless the tenant's previous change is not over.
func (c *changeRunner) rollOut(tenant int) {
	c.mu.Lock()
	if c.inProgress == nil {
		c.inProgress = map[int]bool{}
	}
	if c.inProgress[tenant] {
		c.skipped++
		c.mu.Unlock()
		return
	}
	c.inProgress[tenant] = true
	c.mu.Unlock()
	took, err := c.measurement.rollOut(tenant)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inProgress, tenant)
	c.took = append(c.took, took)
	c.err = errors.Join(c.err, err)
}

// finish waits for the changes that are still running, and writes the results of all changes to the window's rates.
func (c *changeRunner) finish(rates *Rates) error {
	c.running.Wait()
	rates.Changes = len(c.took)
	rates.Skipped = c.skipped
	rates.Replaced = c.replaced
	rates.InForceP50MS, rates.InForceMaxMS = milliseconds(discoverylab.Quantile(c.took, 0.5)), milliseconds(discoverylab.Quantile(c.took, 1))
	return c.err
}
