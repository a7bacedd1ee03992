package node

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientListener accepts clients' connections, but no more of them than there are descriptors for. Each takes a slot, which
// is an element in the channel slots. Further connections wait in the kernel's accept queue for a slot, which takes no longer
// than it takes to reject a request. The connections that Accept returns embed *net.TCPConn: if a wrapper hid CloseWrite from
// net/http, net/http would reset connections on which an answer is still on its way.
type clientListener struct {
	*net.TCPListener
	slots     chan struct{}
	restart   *hotRestart
	conns     *connections
	done      chan struct{} // closed when the listener is closed
	closeOnce func() error  // closes the listener on the first call
}

// newClientListener returns a listener on tcp that allows the given number of connections at a time.
func newClientListener(tcp *net.TCPListener, limit int, restart *hotRestart, conns *connections) *clientListener {
	done := make(chan struct{})
	closeListener := sync.OnceValue(func() error { close(done); return tcp.Close() })
	return &clientListener{TCPListener: tcp, slots: make(chan struct{}, limit), restart: restart, conns: conns, done: done, closeOnce: closeListener}
}

// Close closes the listener. Calls after the first one return the result of the first.
func (l *clientListener) Close() error { return l.closeOnce() }

// hasWaitingConn reports whether the kernel's accept queue holds a connection that the node has not accepted yet. Such a
// connection would be reset if the listener were closed now.
func (l *clientListener) hasWaitingConn() bool { return polledEvents(l, unix.POLLIN)&unix.POLLIN != 0 }

// polledEvents returns which of the given poll events are set on a socket now, and the events for an error or hang-up, which
// poll always reports. It returns none if the socket can't be polled.
func polledEvents(s syscall.Conn, events int16) (revents int16) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		pollFds := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
		for err = unix.EINTR; err == unix.EINTR; {
			_, err = unix.Poll(pollFds[:], 0)
		}
		if err == nil {
			revents = pollFds[0].Revents
		}
	})
	return revents
}

// clientConn is a client's connection. net/http's serving goroutine reads it, and so does net/http's background reader
// while a request is being handled.
type clientConn struct {
	*net.TCPConn
	conns          *connections
	releaseSlot    func()
	framing        framing
	acceptedAt     time.Time
	reused         atomic.Bool  // the node has begun to read a request's body on the connection
	servedRequests atomic.Int64 // number of requests that are over
	lastReadAt     atomic.Int64 // time of the last read that returned bytes, in Unix nanoseconds
	peerEnded      atomic.Bool  // a read met the peer's end of the connection: nothing more can arrive
	closing        atomic.Bool  // the node is closing the connection: bytes that arrive now are dropped
	closeOnce      sync.Once

	startedRequests  int64        // number of requests that the handler has got; only the serving goroutine uses it
	answeredRequests atomic.Int64 // startedRequests as of the last answer that has begun
	pipelined        []byte       // bytes that came after a request in flight; only the reader uses it
	headHeld         *memoryHold  // for the heads of requests that are not over
	headCost         int64        // of the current head; only the reader uses it
	pipelinedHeld    *memoryHold  // for pipelined; only the reader uses it
	hasPipelined     atomic.Bool  // pipelined is not empty
	flooded          atomic.Bool  // more pipelined bytes came than the node keeps: the connection ends with the answer
}

// bodyDeadline returns the time by which a request's body has to begin. For the first body on a connection that is
// bodyConnDeadline after the accept, but no earlier than bodyStartTimeout from now; for a later one it is reusedBodyTimeout
// from now. A nil c is allowed.
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

// Accept waits for a free slot and returns the next connection, which it has counted before. net/http reports the
// connection only later, and a drain that saw no open connection in between would reset it.
func (l *clientListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	for len(l.slots)+l.restart.clientConns() > cap(l.slots) {
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
	l.conns.connAccepted()
	memory := l.conns.memory
	c := &clientConn{TCPConn: conn, conns: l.conns, acceptedAt: time.Now(), headHeld: memory.hold(), pipelinedHeld: memory.hold()}
	c.releaseSlot = sync.OnceFunc(func() {
		l.conns.connReleased(c)
		c.headHeld.release()
		c.pipelinedHeld.release()
		l.restart.count(-1, 0)
		<-l.slots
	})
	return c, nil
}
