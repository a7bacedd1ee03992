package node

import (
	"errors"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// pipelinedLimit is how much is kept of what comes behind a request while it is out. A client sends one request at a time:
// what is more than a small request is a flood.
const pipelinedLimit = headerLimit

// Read hands net/http what has come. While a request is out net/http has one byte read, to notice the client's end. It
// takes any byte for the next request and looks no further: an end behind the byte would not be seen. So that read
// ends with the client, or once the answer begins.
func (c *cappedConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.isOut() {
		if err := c.readPipelined(p); err != nil {
			return 0, err
		}
	}
	switch {
	case c.ending.Load():
		return 0, errEnding
	case c.flooded.Load():
		return 0, io.EOF // some of what came is lost: nothing behind it is a request
	case len(c.pipelined) > 0:
		n := copy(p, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.framing.follow(p[:n])
		c.behind.Store(len(c.pipelined) > 0) // after that, or it would seem for a moment that nothing has come
		return n, nil
	}
	n, err := c.receive(p)
	if n > 0 {
		c.framing.follow(p[:n])
	}
	return n, err
}

// receive reads from the socket. What crosses the node's own close is no request any more.
func (c *cappedConn) receive(p []byte) (int, error) {
	if c.ending.Load() {
		return 0, errEnding
	}
	n, err := c.TCPConn.Read(p)
	if c.ending.Load() { // it was closed meanwhile
		return 0, errEnding
	}
	if n > 0 {
		c.last.Store(time.Now().UnixNano())
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	return n, err
}

// isOut reports whether a request has been read whole and its answer has not begun.
func (c *cappedConn) isOut() bool { return c.framing.whole > c.answered.Load() }

// readPipelined reads behind a request that is out. What it keeps is for the reads to come; of a flood it keeps nothing.
func (c *cappedConn) readPipelined(p []byte) error {
	for c.isOut() {
		n, err := c.receive(p)
		if n > 0 {
			if c.flooded.Load() || len(c.pipelined)+n > pipelinedLimit {
				c.flooded.Store(true)
				c.pipelined = nil
			} else {
				c.pipelined = append(c.pipelined, p[:n]...)
			}
			c.behind.Store(len(c.pipelined) > 0)
			if len(p) == 1 { // nothing comes behind most requests, and no more room is needed for them
				piece := pieces.Get().(*[pieceSize]byte)
				defer pieces.Put(piece)
				p = piece[:]
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// take counts a request that the handler has got.
func (c *cappedConn) take() {
	if c != nil {
		c.taken++
	}
}

// settle notes that the answer begins: what comes from now on may be the next request, of any size.
func (c *cappedConn) settle() {
	if c != nil {
		c.answered.Store(c.taken)
	}
}

// left reports whether the client has ended its side or reset the connection, also behind bytes that are not read yet.
// Where the system can't say, the client counts as there until a read meets its end.
func (c *cappedConn) left() bool {
	return c != nil && polled(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
