package node

import (
	"errors"
	"io"
	"math"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// maxPipelinedBytes is how many bytes the node keeps of those that a client sends after a request in flight. Clients send one
// request at a time, so more than a small request is a flood.
const maxPipelinedBytes = maxHeaderBytes

const (
	unreadBytesWait = 20 * time.Millisecond // for the bytes that follow a request to be read before it is forwarded
	unreadBytesPoll = 500 * time.Microsecond
)

// Read reads from the connection for net/http. While a request is in flight, net/http reads a single byte in the background
// to detect the client's end. It would take any byte for the start of the next request and read no further, and so miss an
// end that follows the byte. Read therefore returns from such a call only when the client ends the connection or the answer
// begins, and keeps the bytes that arrive until then for later reads.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.hasRequestInFlight() {
		if err := c.readPipelined(p); err != nil {
			return 0, err
		}
	}
	if status := c.headRefusal(); status != 0 {
		return 0, c.refuseHead(status)
	}
	switch {
	case c.closing.Load():
		return 0, errConnClosing
	case c.flooded.Load():
		return 0, io.EOF // some bytes were dropped, so those that follow can't be read as a request
	case len(c.pipelined) > 0:
		n := copy(p, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.dropPipelined()
		}
		c.framing.observe(p[:n])
		c.hasPipelined.Store(len(c.pipelined) > 0) // after observe, or hasPendingRequest could be false for a moment
		return n, nil
	}
	n, err := c.receive(p)
	if n > 0 {
		c.framing.observe(p[:n])
	}
	return n, err
}

// receive reads from the socket. It drops bytes that cross the node's own close of the connection: they are not served as a
// request.
func (c *clientConn) receive(p []byte) (int, error) {
	if c.closing.Load() {
		return 0, errConnClosing
	}
	n, err := c.TCPConn.Read(p)
	if c.closing.Load() { // the node has begun to close the connection during the read
		return 0, errConnClosing
	}
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerEnded.Store(true)
	}
	return n, err
}

// hasRequestInFlight reports whether a request has been read in full and its answer has not begun.
func (c *clientConn) hasRequestInFlight() bool {
	return c.framing.completeRequests > c.answeredRequests.Load()
}

// readPipelined reads the bytes that come while a request is in flight, and keeps them for later calls of Read. If they are
// more than maxPipelinedBytes it keeps none of them.
func (c *clientConn) readPipelined(p []byte) error {
	for c.hasRequestInFlight() {
		n, err := c.receive(p)
		if n > 0 {
			if c.flooded.Load() || len(c.pipelined)+n > maxPipelinedBytes || !c.pipelinedHeld.grow(int64(n)) {
				c.flooded.Store(true)
				c.dropPipelined()
			} else {
				c.pipelined = append(c.pipelined, p[:n]...)
			}
			c.hasPipelined.Store(len(c.pipelined) > 0)
			if len(p) == 1 { // a larger buffer is taken only now, as most requests are followed by no bytes
				p = make([]byte, smallCopyBufferLen)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// dropPipelined forgets the bytes that came after a request in flight.
func (c *clientConn) dropPipelined() {
	c.pipelined = nil
	c.pipelinedHeld.clear()
}

// requestStarted counts a request that the handler has got. A nil c is allowed, also in answerStarted and clientLeft.
func (c *clientConn) requestStarted() {
	if c != nil {
		c.startedRequests++
	}
}

// answerStarted records that the answer to the current request begins. Bytes that arrive from now on may belong to the next
// request, which may have any size.
func (c *clientConn) answerStarted() {
	if c != nil {
		c.answeredRequests.Store(c.startedRequests)
	}
}

// clientLeft reports whether the client has closed its side of the connection or reset it, even if unread bytes precede the
// end. If the socket can't be polled, the client counts as connected until a read meets its end.
func (c *clientConn) clientLeft() bool {
	return c != nil && polledEvents(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// awaitUnreadBytes waits briefly until the bytes that follow the request have been read. The client's end is behind them, and may
// not have reached the node's kernel if they fill its buffer. A nil c is allowed.
func (c *clientConn) awaitUnreadBytes() {
	if c == nil {
		return
	}
	for end := time.Now().Add(unreadBytesWait); polledEvents(c, unix.POLLIN)&unix.POLLIN != 0 && !c.clientLeft(); {
		if time.Now().After(end) {
			return
		}
		time.Sleep(unreadBytesPoll)
	}
}

// awaitsBody reports whether the node has read all bytes that have come from the client, and the body of the current request is
// not complete with them. It is called by the reader. For a nil c, and where the socket can't be polled, the result is true.
func (c *clientConn) awaitsBody() bool {
	return c == nil || !c.hasRequestInFlight() && polledEvents(c, unix.POLLIN)&unix.POLLIN == 0
}

// receiveBufferSize returns how many bytes the kernel holds at most of those that the node has not read from a client, or the
// largest number if it can't tell.
func receiveBufferSize(c *clientConn) int64 {
	if c == nil {
		return math.MaxInt32
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return math.MaxInt32
	}
	size := math.MaxInt32
	raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
			size = n
		}
	})
	return int64(size)
}
