package node

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const shedInterval = 50 * time.Millisecond

// connections counts the clients' connections, from the accept until the descriptor is free. Above the limit new
// requests are rejected at once and those closed that have been idle longest, so that there is always a slot to read and
// answer what has been accepted.
type connections struct {
	mu          sync.Mutex // guards count, idle, ended and shedding
	count       int
	limit       int
	restart     *hotRestart
	idle        map[net.Conn]time.Time // since when
	ended       map[net.Conn]bool      // ended by the node, still counted; what comes on them is not taken
	shedding    bool                   // there are still too many: shedIdle comes again
	beforeClose func(net.Conn)         // set by tests: called between the look at a socket and its close
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, idle: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
}

// accepted counts a connection that has been accepted.
func (c *connections) accepted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.shedIdle()
}

// released counts one out whose descriptor is free.
func (c *connections) released(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ended, conn)
	c.count--
}

// shedIdle frees a slot at each arrival, so that none is rejected while another is idle, and as long as there are too many:
// once all places are taken nobody comes, and those that were too young at the last arrival would keep everybody out.
func (c *connections) shedIdle() {
	if c.count == 0 || !c.isOverLimit() {
		return
	}
	var old []net.Conn
	for conn, since := range c.idle {
		if time.Since(since) >= minIdleTime {
			old = append(old, conn)
		}
	}
	slices.SortFunc(old, func(a, b net.Conn) int { return c.idle[a].Compare(c.idle[b]) })
	for _, conn := range old {
		if !c.isOverLimit() {
			return
		}
		c.close(conn)
	}
	if c.isOverLimit() && !c.shedding {
		c.shedding = true
		time.AfterFunc(shedInterval, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.shedding = false
			c.shedIdle()
		})
	}
}

func (c *connections) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isOverLimit()
}

func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// waitUntilNone waits until no connection is open, but not for longer than maximum.
func (c *connections) waitUntilNone(maximum time.Duration) {
	for begun := time.Now(); c.open() > 0 && time.Since(begun) < maximum; time.Sleep(drainPollInterval) {
	}
}

// isOverLimit reports whether there are too many that may bring requests. Those that wait for their peers' end bring none:
// for their sake no request is rejected.
func (c *connections) isOverLimit() bool { return c.count-len(c.ended)+c.restart.clients() > c.limit }

// overLimitWithEnded reports whether there are too many with those, whose places are wanted then.
func (c *connections) overLimitWithEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count+c.restart.clients() > c.limit
}

// markEnded notes that the node has ended a connection.
func (c *connections) markEnded(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[conn] = true
}

func (c *connections) isEnded(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[conn]
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if own, ok := conn.(*clientConn); ok {
			own.requestDone()
		}
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
	}
}

// closeIdle closes the connections that have been idle for that long.
func (c *connections) closeIdle(minimum time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) >= minimum {
			c.close(conn)
		}
	}
}

// closeIdleForOthers closes those that a client can't count on, or all if there are too many with those of a newer process.
func (c *connections) closeIdleForOthers() {
	minimum := minIdleTime
	if c.overLimit() {
		minimum = 0
	}
	c.closeIdle(minimum)
}

// close closes an idle connection, but not one on which a request has come or is being read: its client would have to
// send it again. What comes after the look crosses the close, and is read by nobody.
func (c *connections) close(conn net.Conn) {
	own, _ := conn.(*clientConn)
	if own != nil && own.hasPendingRequest() && !own.isStalled() || !hasNoUnreadData(conn) {
		return
	}
	if c.beforeClose != nil {
		c.beforeClose(conn)
	}
	delete(c.idle, conn)
	c.ended[conn] = true
	if own != nil {
		own.endIdle()
		return
	}
	conn.Close()
}

// hasNoUnreadData reports whether nothing has come that is not read yet, not even the end.
func hasNoUnreadData(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // closed already
	}
	quiet := true
	raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return quiet
}
