package node

import (
	"log/slog"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file has the memory budget. The node holds memory for its peers: for each connection, and for the requests, bodies and
// answers on it. Go's limit on memory is a soft one, which the process passes if what is in use does not fit. The node
// therefore counts what it holds for peers, and refuses what would exceed the budget. docs/memory.md has the table of costs.

const (
	// goMemoryPart is the part of the memory limit for Go's heap and stacks. The rest is for the program's pages.
	goMemoryPart = 0.75
	// runtimeBytes is what the runtime, the policy and the endpoint list hold of Go's memory.
	runtimeBytes = 11 << 19
	// budgetPart is the part of the rest that may be in use for peers. What remains is for garbage that is not collected yet.
	budgetPart = 0.68

	clientConnBytes  = 21 << 10 // two buffers of net/http, the serving goroutine's stack, and the connection's state
	serverConnBytes  = 6 << 10  // the reading buffer, and the connection's state
	openRequestBytes = 20 << 10 // the stacks of an attempt and of the read for the client's end, and what includedPayload names
	uploadBytes      = 8 << 10  // the sending goroutine's stack

	includedPayload    = 2 << 10 // bytes of a head, of a body or of an answer that the costs above include
	includedFields     = 24      // fields of a head that the costs above include
	headCopies         = 4       // of a head's bytes: net/http's text and header, the node's copy, and an attempt's text
	headFieldBytes     = 256     // of a field in the headers that net/http and the node make of a head
	smallCopyBufferLen = 2 << 10 // bytes of a buffer for copying where the budget has no place for a larger one

	memoryCheckInterval = 100 * time.Millisecond // between checks of the resident memory
	highMemoryPart      = 0.92                   // part of the memory limit above which only small requests are served
	normalMemoryPart    = 0.86                   // part of the memory limit below which the budget holds again
	freeMemoryInterval  = time.Second            // between forced returns of free memory to the system
)

// memoryUse is what the node holds memory for.
type memoryUse int

const (
	clientConnMemory  memoryUse = iota // clients' connections
	serverConnMemory                   // connections to app servers
	openRequestMemory                  // requests that wait for their answer
	transferMemory                     // requests whose long body or long answer is being relayed
	payloadMemory                      // large heads, bodies, answers and pipelined bytes
	memoryUses
)

// memoryParts are the parts of the budget that each use is guaranteed and that it may take at most.
var memoryParts = [memoryUses]struct{ guaranteed, most float64 }{
	clientConnMemory:  {0.56, 0.56},
	serverConnMemory:  {0.08, 0.08},
	openRequestMemory: {0.12, 0.25},
	transferMemory:    {0.05, 0.15},
	payloadMemory:     {0.12, 0.25},
}

// memoryBudget counts the bytes that the node holds for its peers. Its methods may be called on a nil *memoryBudget, which
// grants everything.
type memoryBudget struct {
	total atomic.Int64
	high  atomic.Bool // the resident memory is near the limit, whatever the count is: only small requests are served

	mu   sync.Mutex // guards used
	used [memoryUses]int64
}

// newMemoryBudget returns the budget of a process that may use the given memory.
func newMemoryBudget(memoryMB int) *memoryBudget {
	b := &memoryBudget{}
	b.setLimit(memoryMB, false)
	return b
}

// goMemoryBytes returns the limit of Go's memory, of which another process of an upgrade gets half.
func goMemoryBytes(memoryMB int, shared bool) int64 {
	limit := goMemoryPart * float64(memoryMB) * (1 << 20)
	if shared {
		limit /= 2
	}
	return int64(limit)
}

// setLimit sets the budget for the given memory limit, which is shared with the other process of an upgrade or not.
func (b *memoryBudget) setLimit(memoryMB int, shared bool) {
	if b != nil {
		b.total.Store(int64(budgetPart * float64(goMemoryBytes(memoryMB, shared)-runtimeBytes)))
	}
}

// most returns how many bytes a use may take.
func (b *memoryBudget) most(use memoryUse) int64 {
	return int64(memoryParts[use].most * float64(b.total.Load()))
}

// take takes bytes for a use, and reports whether the budget has them. After true the caller has to give them back.
func (b *memoryBudget) take(use memoryUse, bytes int64) bool {
	if b == nil {
		return true
	}
	if b.high.Load() && use != openRequestMemory {
		return false
	}
	total := b.total.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := b.used[use] + bytes
	sum := wanted
	for other := range memoryUses {
		if other != use {
			sum += max(b.used[other], int64(memoryParts[other].guaranteed*float64(total)))
		}
	}
	if wanted > b.most(use) || sum > total {
		return false
	}
	b.used[use] = wanted
	return true
}

// add counts bytes that are held already, or given back if they are negative.
func (b *memoryBudget) add(use memoryUse, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[use] += bytes
}

// memoryHold is the payload memory of one request, connection or answer. It is safe for concurrent use. A nil *memoryHold
// holds nothing and grants everything.
type memoryHold struct {
	budget *memoryBudget

	mu       sync.Mutex // guards the fields below
	bytes    int64
	released bool
}

// hold returns an empty hold of payload memory.
func (b *memoryBudget) hold() *memoryHold { return &memoryHold{budget: b} }

// grow takes further bytes, and reports whether the budget has them.
func (h *memoryHold) grow(bytes int64) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.budget.take(payloadMemory, bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// shrink gives bytes back, as far as they are still held.
func (h *memoryHold) shrink(bytes int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.budget.add(payloadMemory, -bytes)
	h.bytes -= bytes
}

// clear gives all bytes back.
func (h *memoryHold) clear() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.add(payloadMemory, -h.bytes)
	h.bytes = 0
}

// release is clear for a hold that takes no more bytes: grow fails from now on.
func (h *memoryHold) release() {
	if h == nil {
		return
	}
	h.clear()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
}

// beyondIncluded returns how many of the given payload bytes are not included in the costs of a connection and a request.
func beyondIncluded(bytes int) int64 { return max(0, int64(bytes-includedPayload)) }

// memoryGuard compares the resident memory of the process with its limit. The budget counts what peers make the node hold;
// the guard covers what it does not count, such as garbage that is not collected yet.
type memoryGuard struct {
	budget   *memoryBudget
	limit    int64 // bytes
	statm    *os.File
	log      *slog.Logger
	lastFree time.Time
}

// newMemoryGuard returns a guard for the given limit, or nil if the resident memory can't be read.
func newMemoryGuard(budget *memoryBudget, memoryMB int, log *slog.Logger) *memoryGuard {
	statm, err := os.Open("/proc/self/statm")
	if err != nil {
		log.Warn("the resident memory is not checked", "err", err)
		return nil
	}
	return &memoryGuard{budget: budget, limit: int64(memoryMB) << 20, statm: statm, log: log}
}

// check has the budget grant nothing while the resident memory is near the limit.
func (g *memoryGuard) check() {
	resident, ok := g.resident()
	if !ok {
		return
	}
	part := float64(resident) / float64(g.limit)
	switch {
	case part > highMemoryPart:
		if !g.budget.high.Swap(true) {
			g.log.Warn("memory near its limit: large requests are refused", "resident_bytes", resident, "limit_bytes", g.limit)
		}
		if time.Since(g.lastFree) >= freeMemoryInterval {
			debug.FreeOSMemory()
			g.lastFree = time.Now()
		}
	case part < normalMemoryPart && g.budget.high.Swap(false):
		g.log.Info("memory below its limit again", "resident_bytes", resident)
	}
}

// resident returns the resident memory of the process in bytes.
func (g *memoryGuard) resident() (bytes int64, ok bool) {
	var buf [128]byte
	n, _ := g.statm.ReadAt(buf[:], 0)
	fields := strings.Fields(string(buf[:n])) // sizes in pages: virtual, resident, ...
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
