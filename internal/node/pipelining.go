package node

import (
	"errors"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// maxPipelinedBytes is how much is kept of what comes behind a request while it is out. A client sends one request at a time:
// what is more than a small request is a flood.
const maxPipelinedBytes = maxHeaderBytes

// Read hands net/http what has come. While a request is out net/http has one byte read, to notice the client's end. It
// takes any byte for the next request and looks no further: an end behind the byte would not be seen. So that read
// ends with the client, or once the answer begins.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.hasRequestInFlight() {
		if err := c.readPipelined(p); err != nil {
			return 0, err
		}
	}
	switch {
	case c.closing.Load():
		return 0, errConnClosing
	case c.flooded.Load():
		return 0, io.EOF // some of what came is lost: nothing behind it is a request
	case len(c.pipelined) > 0:
		n := copy(p, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.framing.observe(p[:n])
		c.hasPipelined.Store(len(c.pipelined) > 0) // after that, or it would seem for a moment that nothing has come
		return n, nil
	}
	n, err := c.receive(p)
	if n > 0 {
		c.framing.observe(p[:n])
	}
	return n, err
}

// receive reads from the socket. What crosses the node's own close is no request any more.
func (c *clientConn) receive(p []byte) (int, error) {
	if c.closing.Load() {
		return 0, errConnClosing
	}
	n, err := c.TCPConn.Read(p)
	if c.closing.Load() { // it was closed meanwhile
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

// hasRequestInFlight reports whether a request has been read completely and its answer has not begun.
func (c *clientConn) hasRequestInFlight() bool {
	return c.framing.completeRequests > c.answeredRequests.Load()
}

// readPipelined reads behind a request that is out. What it keeps is for the reads to come; of a flood it keeps nothing.
func (c *clientConn) readPipelined(p []byte) error {
	for c.hasRequestInFlight() {
		n, err := c.receive(p)
		if n > 0 {
			if c.flooded.Load() || len(c.pipelined)+n > maxPipelinedBytes {
				c.flooded.Store(true)
				c.pipelined = nil
			} else {
				c.pipelined = append(c.pipelined, p[:n]...)
			}
			c.hasPipelined.Store(len(c.pipelined) > 0)
			if len(p) == 1 { // nothing comes behind most requests, and no more space is needed for them
				piece := copyBuffers.Get().(*[copyBufferSize]byte)
				defer copyBuffers.Put(piece)
				p = piece[:]
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// countTaken counts a request that the handler has got.
func (c *clientConn) countTaken() {
	if c != nil {
		c.takenRequests++
	}
}

// answerStarted notes that the answer begins: what comes from now on may be the next request, of any size.
func (c *clientConn) answerStarted() {
	if c != nil {
		c.answeredRequests.Store(c.takenRequests)
	}
}

// clientLeft reports whether the client has ended its side or reset the connection, also behind bytes that are not read yet.
// Where the system can't say, the client counts as there until a read meets its end.
func (c *clientConn) clientLeft() bool {
	return c != nil && polled(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
