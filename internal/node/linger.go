package node

import (
	"net"
	"time"
)

// How the node closes a client's connection. A close over unread bytes, or before bytes that are on their way, resets
// the connection, and the reset may take an answer along that the client has not read. So the node ends its own side
// first, and reads and drops what still comes until the peer has ended too.

const (
	finTimeout      = 500 * time.Millisecond // for the peer's end
	finShortTimeout = 50 * time.Millisecond  // while places are short
	maxFinBytes     = 256 << 10              // dropped at most: a flood is no reason to read on
	finBufferSize   = 4 << 10
)

// errConnClosing is of a kind that net/http takes for a broken connection, and does not answer.
var errConnClosing = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// endIdle ends an idle connection and wakes net/http, which waits on it for a request and closes it then. What comes
// after the mark is never given to net/http. A request that was read in full before it finds the connection shed.
func (c *clientConn) endIdle() {
	c.closing.Store(true) // before the deadline: a read that begins later sees the mark, one that waits the deadline
	c.TCPConn.CloseWrite()
	c.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the node's side at once. The descriptor and the place go once the peer has ended too, within bounds.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		if c.peerEnded.Load() {
			c.release()
			return
		}
		c.conns.markEnded(c)
		c.TCPConn.CloseWrite()
		wait := finTimeout
		if c.conns.overLimitWithEnded() {
			wait = finShortTimeout
		}
		c.SetReadDeadline(time.Now().Add(wait))
		go c.linger()
	})
	return nil
}

// CloseWrite is called by net/http, which then sleeps and closes. What comes is dropped while it sleeps.
func (c *clientConn) CloseWrite() error { return c.Close() }

func (c *clientConn) linger() {
	defer c.release()
	piece := make([]byte, finBufferSize)
	for left := maxFinBytes; left > 0; {
		n, err := c.TCPConn.Read(piece)
		if err != nil {
			return
		}
		left -= n
	}
}

func (c *clientConn) release() {
	c.TCPConn.Close()
	c.releaseSlot()
}

// hasPendingRequest reports whether something has come of a request that is not over, perhaps while the one before was answered.
func (c *clientConn) hasPendingRequest() bool {
	return c.hasPipelined.Load() || c.framing.requests.Load() > c.servedRequests.Load()
}

// isStalled reports whether what has come is a beginning that does not go on. net/http waits for the first four bytes of a
// further request as long as for none.
func (c *clientConn) isStalled() bool {
	return time.Since(time.Unix(0, c.lastReadAt.Load())) > requestHeadTimeout
}

// requestDone notes that a request is over. What has come of a next one by now stays heard.
func (c *clientConn) requestDone() {
	if c.framing.requests.Load() > c.servedRequests.Load() {
		c.servedRequests.Add(1)
	}
}
