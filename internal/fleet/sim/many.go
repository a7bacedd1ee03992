package sim

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Summary holds the totals and quantiles over many runs.
type Summary struct {
	Runs             int      `json:"plays"`
	Nodes            int      `json:"nodes"`
	Stop95           Quantile `json:"stop95_ms"`
	Spread           Quantile `json:"spread_ms"`
	Onboard          Quantile `json:"onboard_ms"`
	Undone           int      `json:"undone"`
	Losses           int      `json:"losses"`  // zone losses
	Unnotified       int      `json:"unheard"` // zone losses in which under 95 % of all nodes, down, deaf or stalled ones included, stopped in time
	WarmingOverloads int      `json:"cold_falls"`
	WrongEvacuations int      `json:"wrong_leaves"`
	Steps            int      `json:"steps"`
	Answered         int      `json:"answered"`
	Rejected         int      `json:"refused"`
	Lost             int      `json:"lost"`
	Retries          int      `json:"further"`
	Breaches         []Result `json:"breaches,omitempty"` // sorted by seed
}

// Quantile holds the minimum, the quantiles and the maximum of one measured time over all runs, in ms.
type Quantile struct {
	Min int64 `json:"Least"`
	P50 int64
	P95 int64
	P99 int64
	Max int64 `json:"Most"`
}

func quantile(all []int64) (q Quantile) {
	if len(all) == 0 {
		return q
	}
	slices.Sort(all)
	at := func(p int) int64 { return all[(len(all)-1)*p/100] }
	return Quantile{all[0], at(50), at(95), at(99), all[len(all)-1]}
}

// Many runs the plans of consecutive seeds, beginning with first, on the given number of workers, and writes each breach
// to out as it occurs. When ctx ends, Many starts no further run and returns the summary of the runs so far.
func Many(ctx context.Context, plan func(seed uint64) Plan, first uint64, seeds, workers int, out io.Writer) Summary {
	var sum Summary
	var stop, spread, onboard []int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range max(workers, 1) {
		wg.Go(func() {
			for seed := range next {
				p := plan(seed)
				r := Run(p)
				mu.Lock()
				sum.Runs += 1
				sum.Nodes = p.Nodes
				sum.Losses = sum.Losses + len(r.Stop95) + r.Unnotified
				stop = append(stop, r.Stop95...)
				spread = append(spread, r.Spread...)
				onboard = append(onboard, r.Onboard...)
				sum.Undone += r.Undone
				sum.Unnotified += r.Unnotified
				sum.WarmingOverloads += r.WarmingOverloads
				sum.WrongEvacuations += r.WrongEvacuations
				sum.Steps += r.Steps
				sum.Answered += r.Answered
				sum.Rejected += r.Rejected
				sum.Lost += r.Lost
				sum.Retries += r.Retries
				if r.Breach != nil {
					sum.Breaches = append(sum.Breaches, r)
					fmt.Fprintf(out, "seed %d, %d nodes: %v\n", seed, p.Nodes, r.Breach)
				}
				mu.Unlock()
			}
		})
	}
	for i := range seeds {
		select {
		case next <- first + uint64(i):
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	wg.Wait()
	sum.Stop95 = quantile(stop)
	sum.Spread = quantile(spread)
	sum.Onboard = quantile(onboard)
	slices.SortFunc(sum.Breaches, func(a, b Result) int { return cmp.Compare(a.Seed, b.Seed) })
	return sum
}
