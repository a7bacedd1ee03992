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

// usage returns the process's resource use and counters. It runs the garbage collector before it reads the heap's size, so that
// HeapBytes is the live heap.
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
	u.ReportDeltas, u.ReportDeltaBytes = g.state.sockets.reportDeltas.Load(), g.state.sockets.reportDeltaBytes.Load()
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

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// residentBytes returns the size of the process's resident set, read from /proc.
func residentBytes() uint64 {
	raw, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// writtenBytes returns how many bytes the process has caused to be written to disk, read from /proc. It stands in for the agents'
// count of durable copies in builds without that count: the process writes no other files. The kernel counts whole pages, and
// nothing on an in-memory file system.
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

// inForce waits until the generation, or a later one, is in force on every running node that has the tenant in its scope, or until
// the request's wait is over.
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
			continue // the node never had the tenant
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
