package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientListener accepts no more connections than there are descriptors for. Beyond it they wait, for the moment that
// refusing takes. It keeps *net.TCPConn in sight, as a wrapper would hide CloseWrite from net/http, which then
// resets connections with an answer on them.
type clientListener struct {
	*net.TCPListener
	slots     chan struct{}
	restart   *hotRestart
	conns     *connections
	done      chan struct{} // closed with the listener
	closeOnce func() error  // closes it, once
}

func newClientListener(tcp *net.TCPListener, limit int, restart *hotRestart, conns *connections) *clientListener {
	done := make(chan struct{})
	end := sync.OnceValue(func() error { close(done); return tcp.Close() })
	return &clientListener{TCPListener: tcp, slots: make(chan struct{}, limit), restart: restart, conns: conns, done: done, closeOnce: end}
}

func (l *clientListener) Close() error { return l.closeOnce() }

// hasWaitingConn reports whether a connection is there that the kernel has accepted and the node has not: it would be reset if
// the listener closed now.
func (l *clientListener) hasWaitingConn() bool { return polled(l, unix.POLLIN)&unix.POLLIN != 0 }

// polled returns which of the events a socket has now, or its end. Where the system can't say, it has none.
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

type clientConn struct {
	*net.TCPConn
	conns          *connections
	releaseSlot    func()
	framing        framing
	acceptedAt     time.Time
	reused         atomic.Bool  // a request on it has been read
	servedRequests atomic.Int64 // requests that are over
	lastReadAt     atomic.Int64 // when something came last, in Unix nanoseconds
	peerEnded      atomic.Bool  // the peer's end has been read: nothing can come any more
	closing        atomic.Bool  // the node closes it: what comes is not taken
	closeOnce      sync.Once

	takenRequests    int64        // requests that the handler has got; the serving goroutine's
	answeredRequests atomic.Int64 // of these, those whose answer has begun
	pipelined        []byte       // what came behind a request that was out; the reader's
	hasPipelined     atomic.Bool  // there is something in pipelined
	flooded          atomic.Bool  // more came than is kept: the connection ends with the answer
}

// bodyDeadline is when a body that does not begin is given up.
func (c *clientConn) bodyDeadline() time.Time {
	minimum := time.Now().Add(bodyStartTimeout)
	switch {
	case c == nil:
		return minimum
	case c.reused.Swap(true):
		return time.Now().Add(reusedBodyTimeout)
	case c.acceptedAt.Add(bodyConnDeadline).After(minimum):
		return c.acceptedAt.Add(bodyConnDeadline)
	}
	return minimum
}

// Accept counts a connection before it returns it: net/http tracks it only later, and a drain that saw none in between
// would reset it.
func (l *clientListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	for len(l.slots)+l.restart.clients() > cap(l.slots) {
		select {
		case <-time.After(otherProcessPoll):
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
	l.conns.accepted()
	c := &clientConn{TCPConn: conn, conns: l.conns, acceptedAt: time.Now()}
	c.releaseSlot = sync.OnceFunc(func() { l.conns.released(c); l.restart.count(-1, 0); <-l.slots })
	return c, nil
}
