package hollow

import (
	"context"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// usage is what the process has used and seen. It collects garbage first: the heap is what is live.
func (g *group) usage() Usage {
	u := Usage{
		Calls:       g.state.sockets.traffic(),
		Failures:    g.state.sockets.failures.Load(),
		ReportBytes: g.state.sockets.reportBytes.Load(),
		Registered:  g.servers.registered(),
		Goroutines:  runtime.NumGoroutine(),
		CPU:         cpuTime(),
		RSSBytes:    residentBytes(),
		CopyBytes:   g.state.copyBytes.Load(),
	}
	u.Differences, u.DifferenceBytes = g.state.sockets.differences.Load(), g.state.sockets.differenceBytes.Load()
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.Descriptors = len(entries)
	}
	newest := g.state.newest.Load()
	for _, n := range g.running() {
		if n.isReady() {
			u.Ready++
		}
		n.mu.Lock()
		u.Behind = max(u.Behind, newest-min(newest, n.revision))
		u.Items += n.items
		n.mu.Unlock()
		u.CopyBytes += n.copyBytes()
	}
	if u.CopyBytes == 0 {
		u.CopyBytes = writtenBytes()
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	u.HeapBytes = memory.HeapAlloc
	return u
}

// processorTime is what the process has taken, user and system.
func cpuTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// residentBytes is the resident set, from /proc.
func residentBytes() uint64 {
	raw, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// writtenBytes is what the process has caused to be written to disks, from /proc, for agents that don't count it. The durable
// copies are the only files that it writes. It counts whole pages; of a file system in memory it is 0.
func writtenBytes() uint64 {
	raw, _ := os.ReadFile("/proc/self/io")
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			written, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
			return written
		}
	}
	return 0
}

// inForce waits until every node of a tenant's scope that is up serves it by the generation, or a later one; or until the wait
// is over.
func (g *group) inForce(ctx context.Context, r Request) InForce {
	if r.Service != "" {
		g.state.setService(r.Tenant, r.Service)
	}
	for end := time.Now().Add(r.Wait); ; pause(ctx, inForcePollInterval) {
		result := g.checkInForce(r.Tenant, r.Generation)
		if result.Have == result.Nodes || ctx.Err() != nil || time.Now().After(end) {
			return result
		}
	}
}

func (g *group) checkInForce(tenant string, generation uint64) InForce {
	var result InForce
	lacking := ""
	for _, n := range g.running() {
		n.mu.Lock()
		state, known := n.serving[tenant]
		reached := state.generation >= generation
		if generation == 0 {
			reached = state.generation == 0 && n.synced
		}
		inScope := n.serves(tenant)
		n.mu.Unlock()
		if !inScope {
			continue
		}
		result.Nodes++
		if !reached {
			lacking = n.member.Node
			continue
		}
		result.Have++
		if !known {
			continue // it never had the tenant
		}
		result.Times = append(result.Times, state.since.UnixNano())
		if state.since.After(result.Last) {
			result.Last, result.Worst = state.since, n.member.Node
		}
	}
	if lacking != "" {
		result.Worst = lacking
	}
	return result
}
