package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Hot restart: an upgrade starts the program again while the older process serves. What lets two processes be one node is
// here: listening on one address, and sharing the limits.

const (
	// goMemoryPart is for Go's heap and stacks; the kernel's buffers and the program have the rest.
	goMemoryPart         = 0.6
	otherProcessInterval = 50 * time.Millisecond // to look for another process
)

// listenClients listens for clients. With shared, another process may do so on the same address, and of two the later
// one gets all new connections: what is in the older one's accept queue when it closes would be lost.
func listenClients(addr netip.AddrPort, shared bool, log *slog.Logger) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Go's default, under which the kernel rejects steerNewConns
	if shared {
		config.Control = reusePort
	}
	l, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	tcp := l.(*net.TCPListener)
	if shared {
		if err := steerNewConns(tcp); err != nil {
			log.Warn("an older process still gets some of the connections", "err", err)
		}
	}
	return tcp, nil
}

// reusePort lets a socket share its address. Where that is rejected the node listens as it does without.
func reusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
}

// steerNewConns has the kernel deal new connections, or datagrams, to the second listener on the address. Where there is only one it gets
// them all, as the kernel passes over a number that no listener has.
func steerNewConns(l syscall.Conn) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	second := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	program := unix.SockFprog{Len: uint16(len(second)), Filter: &second[0]}
	var rejected error
	err = raw.Control(func(fd uintptr) {
		rejected = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
	return errors.Join(err, rejected)
}

// hotRestart shares the limits with the other process of an upgrade. A nil *hotRestart knows of no other.
type hotRestart struct {
	memoryMB   int
	log        *slog.Logger
	slotFiles  [2]*os.File    // a place each, locked as long as its process lives
	slotCounts [2]*connCounts // what they hold
	hasOther   atomic.Bool    // there is another process

	mu          sync.Mutex  // guards the fields below
	slot        *os.File    // nil: both were taken
	otherSlot   *os.File    // the other's place
	ownCounts   *connCounts // in nobody's sight without a place
	otherCounts []*connCounts
}

// connCounts are a process's connections, in a file that both map.
type connCounts struct {
	clients  atomic.Int64
	backends atomic.Int64
}

// openHotRestart takes one of two places.
func openHotRestart(c *Config, log *slog.Logger) (*hotRestart, error) {
	h := &hotRestart{memoryMB: c.Limits.MemoryMB, log: log, ownCounts: &connCounts{}}
	for i := range h.slotFiles {
		f, err := os.OpenFile(slotPath(c, i), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		size := int(unsafe.Sizeof(connCounts{}))
		if err := f.Truncate(int64(size)); err != nil {
			return nil, err
		}
		m, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
		if err != nil {
			return nil, err
		}
		h.slotFiles[i], h.slotCounts[i] = f, (*connCounts)(unsafe.Pointer(&m[0]))
	}
	h.otherCounts = h.slotCounts[:]
	h.refresh()
	return h, nil
}

// claimSlot takes a place if this process has none. Both may be locked: by two others, or one for the moment in which the
// other looks, which lasts if it is stopped then. So it is tried again at each look, and what both hold counts until
// then. What an earlier process left in a place is written over.
func (h *hotRestart) claimSlot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, f := range h.slotFiles {
		if h.slot == nil && syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			h.slotCounts[i].clients.Store(h.ownCounts.clients.Load())
			h.slotCounts[i].backends.Store(h.ownCounts.backends.Load())
			h.slot = f
			h.otherSlot = h.slotFiles[1-i]
			h.ownCounts = h.slotCounts[i]
			h.otherCounts = h.slotCounts[1-i : 2-i]
		}
	}
	return h.slot != nil
}

// refresh finds out whether there is another process, and divides the memory.
func (h *hotRestart) refresh() {
	present := true
	if h.claimSlot() && syscall.Flock(int(h.otherSlot.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		syscall.Flock(int(h.otherSlot.Fd()), syscall.LOCK_UN)
		present = false
	}
	if present != h.hasOther.Swap(present) {
		h.log.Info("another process of this node", "present", present)
		limitMemory(h.memoryMB, present)
		if present {
			debug.FreeOSMemory()
		}
	}
}

// limitMemory has Go's memory stay under its part of the limit, or under half of that.
func limitMemory(mb int, shared bool) {
	limit := goMemoryPart * float64(mb) * (1 << 20)
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// clients is how many clients the other process has. After a SIGKILL it is what it had, until the next look.
func (h *hotRestart) clients() int {
	return h.sum(func(c *connCounts) int64 { return c.clients.Load() })
}

// backends is how many connections to app servers the other process has, with the sockets that are its own.
func (h *hotRestart) backends() int {
	if h == nil || !h.hasOther.Load() {
		return 0
	}
	return h.sum(func(c *connCounts) int64 { return c.backends.Load() }) + reservedSockets
}

func (h *hotRestart) sum(of func(*connCounts) int64) int {
	if h == nil || !h.hasOther.Load() {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, c := range h.otherCounts {
		n += int(of(c))
	}
	return n
}

// count adds to what the other process sees of this one.
func (h *hotRestart) count(clients, backends int) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ownCounts.clients.Add(int64(clients))
		h.ownCounts.backends.Add(int64(backends))
	}
}
