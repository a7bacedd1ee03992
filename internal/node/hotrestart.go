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

// In a hot restart, an upgrade starts the program again while the older process still serves. This file lets two processes
// act as one node: both listen on one address, and both share the limits.

const otherProcessCheckInterval = 50 * time.Millisecond // between checks for another process

// listenClients listens for clients. If shared is set, another process may listen on the same address. The newer of the two
// listeners then gets all new connections, since those in the older one's accept queue would be lost when it closes.
func listenClients(addr netip.AddrPort, shared bool, log *slog.Logger) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // with Go's default, Multipath TCP, the kernel rejects steerToNewestSocket
	if shared {
		config.Control = reusePort
	}
	l, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	tcp := l.(*net.TCPListener)
	if shared {
		if err := steerToNewestSocket(tcp); err != nil {
			log.Warn("an older process still gets some of the connections", "err", err)
		}
	}
	return tcp, nil
}

// reusePort lets a socket share its address. If the kernel rejects that, the socket listens without sharing.
func reusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
}

// steerToNewestSocket makes the kernel pass all new connections, or datagrams, to the second socket on the address. If there
// is only one socket, it gets them all, because the kernel ignores an index that no socket has.
func steerToNewestSocket(l syscall.Conn) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	selectSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	program := unix.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]}
	var rejected error
	err = raw.Control(func(fd uintptr) {
		rejected = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
	return errors.Join(err, rejected)
}

// hotRestart shares the limits with the other process of an upgrade. Two slots stand for the two processes. While this process
// holds no slot, otherCounts has the counts of both. A nil *hotRestart behaves as if there were no other process.
type hotRestart struct {
	memoryMB   int
	memory     *memoryBudget // nil until shareMemory
	log        *slog.Logger
	slotFiles  [2]*os.File    // one for each slot, locked as long as the process that holds the slot lives
	slotCounts [2]*connCounts // the mapped contents of slotFiles
	hasOther   atomic.Bool    // there is another process

	mu          sync.Mutex  // guards the fields below
	slot        *os.File    // this process's slot; nil while both slots are taken
	otherSlot   *os.File    // the other process's slot
	ownCounts   *connCounts // not visible to other processes while slot is nil
	otherCounts []*connCounts
}

// connCounts are the numbers of a process's connections from clients and to app servers. They are in a file that both
// processes map.
type connCounts struct {
	clientConns atomic.Int64
	serverConns atomic.Int64
}

// openHotRestart opens the files of the two slots and claims a slot if one is free.
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

// claimSlot claims a free slot if this process has none, and reports whether it has one. Both slots may be locked: by two
// other processes, or one of them by the other process's check in refresh, which holds the lock for long if that process is
// stopped meanwhile. So each refresh tries again, and until then the counts of both slots are added up. The counts that an
// earlier process left in the slot are overwritten.
func (h *hotRestart) claimSlot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, f := range h.slotFiles {
		if h.slot == nil && syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			h.slotCounts[i].clientConns.Store(h.ownCounts.clientConns.Load())
			h.slotCounts[i].serverConns.Store(h.ownCounts.serverConns.Load())
			h.slot = f
			h.otherSlot = h.slotFiles[1-i]
			h.ownCounts = h.slotCounts[i]
			h.otherCounts = h.slotCounts[1-i : 2-i]
		}
	}
	return h.slot != nil
}

// refresh checks whether there is another process, and adjusts the memory limit if that has changed.
func (h *hotRestart) refresh() {
	present := true
	if h.claimSlot() && syscall.Flock(int(h.otherSlot.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		syscall.Flock(int(h.otherSlot.Fd()), syscall.LOCK_UN)
		present = false
	}
	if present != h.hasOther.Swap(present) {
		h.log.Info("another process of this node", "present", present)
		limitMemory(h.memoryMB, present)
		h.memory.setLimit(h.memoryMB, present)
		if present {
			debug.FreeOSMemory()
		}
	}
}

// shareMemory has a budget follow whether another process shares the memory limit. It is called before refresh runs in the
// background.
func (h *hotRestart) shareMemory(b *memoryBudget) {
	h.memory = b
	b.setLimit(h.memoryMB, h.hasOther.Load())
}

// limitMemory limits Go's memory to its part of the node's limit, or to half of that part if another process shares it.
func limitMemory(mb int, shared bool) {
	debug.SetMemoryLimit(goMemoryBytes(mb, shared))
}

// clientConns returns the number of the other process's connections from clients. After a SIGKILL of that process, its
// last number counts until the next refresh.
func (h *hotRestart) clientConns() int {
	return h.sum(func(c *connCounts) int64 { return c.clientConns.Load() })
}

// serverConns returns the number of the other process's connections to app servers, plus the descriptors that it reserves
// for itself.
func (h *hotRestart) serverConns() int {
	if h == nil || !h.hasOther.Load() {
		return 0
	}
	return h.sum(func(c *connCounts) int64 { return c.serverConns.Load() }) + reservedSockets
}

// sum adds up a field of otherCounts. It is 0 if there is no other process.
func (h *hotRestart) sum(field func(*connCounts) int64) int {
	if h == nil || !h.hasOther.Load() {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, c := range h.otherCounts {
		n += int(field(c))
	}
	return n
}

// count adds to the numbers of this process's connections that the other process sees.
func (h *hotRestart) count(clientConns, serverConns int) {
	if h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ownCounts.clientConns.Add(int64(clientConns))
		h.ownCounts.serverConns.Add(int64(serverConns))
	}
}
