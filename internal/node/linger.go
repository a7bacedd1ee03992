package node

import (
	"net"
	"time"
)

// How the node closes a client's connection. A close over unread bytes, or before bytes that are on their way, resets
// the connection, and the reset may take an answer along that the client has not read. So the node ends its own side
// first, and reads and drops what still comes until the peer has ended too.

const (
	finWait  = 500 * time.Millisecond // for the peer's end
	finBrief = 50 * time.Millisecond  // while places are short
	finBytes = 256 << 10              // dropped at most: a flood is no reason to read on
	finPiece = 4 << 10
)

// errEnding is of a kind that net/http takes for a broken connection, and does not answer.
var errEnding = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// hangUp ends an idle connection and wakes net/http, which waits on it for a request and closes it then. What comes
// after the mark is never given to net/http. A request that was read whole before it finds the connection shed.
func (c *cappedConn) hangUp() {
	c.ending.Store(true) // before the deadline: a read that begins later sees the mark, one that waits the deadline
	c.TCPConn.CloseWrite()
	c.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the node's side at once. The descriptor and the place go once the peer has ended too, within bounds.
func (c *cappedConn) Close() error {
	c.closing.Do(func() {
		c.ending.Store(true)
		if c.ended.Load() {
			c.release()
			return
		}
		c.conns.end(c)
		c.TCPConn.CloseWrite()
		wait := finWait
		if c.conns.short() {
			wait = finBrief
		}
		c.SetReadDeadline(time.Now().Add(wait))
		go c.linger()
	})
	return nil
}

// CloseWrite is called by net/http, which then sleeps and closes. What comes is dropped while it sleeps.
func (c *cappedConn) CloseWrite() error { return c.Close() }

func (c *cappedConn) linger() {
	defer c.release()
	piece := make([]byte, finPiece)
	for left := finBytes; left > 0; {
		n, err := c.TCPConn.Read(piece)
		if err != nil {
			return
		}
		left -= n
	}
}

func (c *cappedConn) release() {
	c.TCPConn.Close()
	c.free()
}

// heard reports whether something has come of a request that is not over, perhaps while the one before was answered.
func (c *cappedConn) heard() bool {
	return c.behind.Load() || c.framing.requests.Load() > c.served.Load()
}

// stale reports whether what has come is a beginning that does not go on. net/http waits for the first four bytes of a
// further request as long as for none.
func (c *cappedConn) stale() bool { return time.Since(time.Unix(0, c.last.Load())) > requestWait }

// rest notes that a request is over. What has come of a next one by now stays heard.
func (c *cappedConn) rest() {
	if c.framing.requests.Load() > c.served.Load() {
		c.served.Add(1)
	}
}
