package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// capped accepts no more connections than there are descriptors for. Beyond it they wait, for the moment that
// refusing takes. It keeps *net.TCPConn in sight, as a wrapper would hide CloseWrite from net/http, which then
// resets connections with an answer on them.
type capped struct {
	*net.TCPListener
	slots   chan struct{}
	restart *hotRestart
	conns   *connections
	done    chan struct{} // closed with the listener
	end     func() error  // closes it, once
}

func newCapped(tcp *net.TCPListener, limit int, restart *hotRestart, conns *connections) *capped {
	done := make(chan struct{})
	end := sync.OnceValue(func() error { close(done); return tcp.Close() })
	return &capped{TCPListener: tcp, slots: make(chan struct{}, limit), restart: restart, conns: conns, done: done, end: end}
}

func (l *capped) Close() error { return l.end() }

// waiting reports whether a connection is there that the kernel has accepted and the node has not: it would be reset if
// the listener closed now.
func (l *capped) waiting() bool { return polled(l, unix.POLLIN)&unix.POLLIN != 0 }

// polled gives which of the events a socket has now, or its end. Where the system can't say, it has none.
func polled(s syscall.Conn, events int16) (has int16) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		look := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
		for err = unix.EINTR; err == unix.EINTR; {
			_, err = unix.Poll(look[:], 0)
		}
		if err == nil {
			has = look[0].Revents
		}
	})
	return has
}

type cappedConn struct {
	*net.TCPConn
	conns   *connections
	free    func()
	framing framing
	came    time.Time
	kept    atomic.Bool  // a request on it has been read
	served  atomic.Int64 // requests that are over
	last    atomic.Int64 // when something came last, in Unix nanoseconds
	ended   atomic.Bool  // the peer's end has been read: nothing can come any more
	ending  atomic.Bool  // the node closes it: what comes is not taken
	closing sync.Once

	taken     int64        // requests that the handler has got; the serving goroutine's
	answered  atomic.Int64 // of these, those whose answer has begun
	pipelined []byte       // what came behind a request that was out; the reader's
	behind    atomic.Bool  // there is something in pipelined
	flooded   atomic.Bool  // more came than is kept: the connection ends with the answer
}

// bodyBy is when a body that does not begin is given up.
func (c *cappedConn) bodyBy() time.Time {
	least := time.Now().Add(bodyWait)
	switch {
	case c == nil:
		return least
	case c.kept.Swap(true):
		return time.Now().Add(bodyKept)
	case c.came.Add(bodyBy).After(least):
		return c.came.Add(bodyBy)
	}
	return least
}

// Accept counts a connection before it returns it: net/http tracks it only later, and a drain that saw none in between
// would reset it.
func (l *capped) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	for len(l.slots)+l.restart.clients() > cap(l.slots) {
		select {
		case <-time.After(otherWait):
		case <-l.done:
			<-l.slots
			return nil, net.ErrClosed
		}
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.restart.count(1, 0)
	l.conns.came()
	c := &cappedConn{TCPConn: conn, conns: l.conns, came: time.Now()}
	c.free = sync.OnceFunc(func() { l.conns.left(c); l.restart.count(-1, 0); <-l.slots })
	return c, nil
}
