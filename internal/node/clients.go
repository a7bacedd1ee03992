package node

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// connections counts the clients' connections. Above the limit new requests are refused at once and those closed
// that have been idle longest, so that there is always room to read and answer what has been accepted.
type connections struct {
	mu     sync.Mutex
	count  int
	limit  int
	beside *beside
	idle   map[net.Conn]time.Time // since when
	shed   map[net.Conn]bool      // closed to make room; what still comes on them is not taken
}

func (c *connections) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over()
}

func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *connections) over() bool { return c.count+c.beside.clients() > c.limit }

func (c *connections) isShed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed[conn]
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.count++
		if c.over() {
			var oldest net.Conn
			for idle, since := range c.idle {
				if oldest == nil || since.Before(c.idle[oldest]) {
					oldest = idle
				}
			}
			if oldest != nil && time.Since(c.idle[oldest]) >= idleLeast {
				c.close(oldest)
			}
		}
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if own, ok := conn.(*cappedConn); ok {
			own.heard.Store(false)
		}
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
		delete(c.shed, conn)
		c.count--
	}
}

// closeIdle closes the connections that have been idle for that long.
func (c *connections) closeIdle(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) >= least {
			c.close(conn)
		}
	}
}

// makeRoom closes those that a client can't count on, or all if there are too many with those of a newer process.
func (c *connections) makeRoom() {
	least := idleLeast
	if c.crowded() {
		least = 0
	}
	c.closeIdle(least)
}

// close closes an idle connection, but not one on which a request has come or is being read: its client would have to
// send it again.
func (c *connections) close(conn net.Conn) {
	if own, ok := conn.(*cappedConn); ok && own.heard.Load() || !quietSocket(conn) {
		return
	}
	delete(c.idle, conn)
	c.shed[conn] = true
	conn.Close()
}

// quietSocket tells whether nothing has come that is not read yet, not even the end.
func quietSocket(conn net.Conn) bool {
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
