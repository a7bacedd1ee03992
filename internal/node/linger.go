package node

import (
	"net"
	"net/http"
	"time"
)

// This file has the lingering close of a client's connection. A close with unread bytes in the socket, or with bytes still
// on their way, resets the connection, and a reset may destroy an answer that the client has not read yet. The node
// therefore closes its own side first, and reads and drops the bytes that still arrive until the peer has closed its side.

const (
	lingerTimeout      = 500 * time.Millisecond // for the peer to close its side
	shortLingerTimeout = 50 * time.Millisecond  // the same while slots are short
	maxLingerBytes     = 256 << 10              // bytes that are dropped at most; a flood is not read further
	lingerBufferSize   = 4 << 10
)

// errConnClosing is returned by reads on a connection that the node is closing. net/http takes an error of this type for a
// broken connection and does not answer it.
var errConnClosing = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// endIdle ends an idle connection. It interrupts net/http's read for the next request, on which net/http closes the
// connection. Bytes that arrive after closing is set are never passed to net/http. If net/http has read a full request
// before, ServeHTTP aborts that request, as the connection is marked as ended.
func (c *clientConn) endIdle() {
	c.closing.Store(true) // before the deadline: a read that begins later sees closing, and a waiting one meets the deadline
	c.TCPConn.CloseWrite()
	c.SetReadDeadline(time.Unix(1, 0))
}

// endHead ends a connection on which the head of a request is coming. If a part of it has come, the client gets an answer, as the
// request may be complete by the time that the client sees the end.
func (c *clientConn) endHead() {
	c.closing.Store(true)
	if c.hasPendingRequest() {
		writeOnce(c, refusalText(http.StatusServiceUnavailable))
	}
	c.endIdle()
}

// Close closes the node's side of the connection at once. The descriptor and the slot are released when the peer has closed
// its side too, or at the limits on time and bytes.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.closing.Store(true)
		if c.peerEnded.Load() {
			c.release()
			return
		}
		c.conns.markEnded(c)
		c.TCPConn.CloseWrite()
		timeout := lingerTimeout
		if c.conns.overLimitWithEnded() {
			timeout = shortLingerTimeout
		}
		c.SetReadDeadline(time.Now().Add(timeout))
		go c.linger()
	})
	return nil
}

// CloseWrite is called by net/http, which then sleeps for a while and calls Close. Being Close, it drops the bytes that
// arrive during the sleep.
func (c *clientConn) CloseWrite() error { return c.Close() }

// linger drops the bytes that still arrive until the peer has closed its side, and then releases the connection.
func (c *clientConn) linger() {
	defer c.release()
	buf := make([]byte, lingerBufferSize)
	for remaining := maxLingerBytes; remaining > 0; {
		n, err := c.TCPConn.Read(buf)
		if err != nil {
			return
		}
		remaining -= n
	}
}

// release frees the descriptor and the slot of the connection.
func (c *clientConn) release() {
	c.TCPConn.Close()
	c.releaseSlot()
}

// hasPendingRequest reports whether bytes have come of a request that is not over. They may have come while the request
// before it was being answered.
func (c *clientConn) hasPendingRequest() bool {
	return c.hasPipelined.Load() || c.framing.requests.Load() > c.servedRequests.Load()
}

// isStalled reports whether the last bytes came longer ago than requestHeadTimeout, so that a request that has begun does not
// continue. net/http itself applies only the idle timeout until the first four bytes of a further request have come.
func (c *clientConn) isStalled() bool {
	return time.Since(time.Unix(0, c.lastReadAt.Load())) > requestHeadTimeout
}

// requestDone counts a request that is over. If bytes of the next request have come already, that one stays pending. It is
// called by the reader.
func (c *clientConn) requestDone() {
	c.headHeld.clear()
	c.headCost = 0
	if c.framing.requests.Load() > c.servedRequests.Load() {
		c.servedRequests.Add(1)
	}
}
