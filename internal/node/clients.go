package node

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const shedEvery = 50 * time.Millisecond

// connections counts the clients' connections, from the accept until the descriptor is free. Above the limit new
// requests are refused at once and those closed that have been idle longest, so that there is always room to read and
// answer what has been accepted.
type connections struct {
	mu       sync.Mutex
	count    int
	limit    int
	restart  *hotRestart
	idle     map[net.Conn]time.Time // since when
	shed     map[net.Conn]bool      // ended by the node, still counted; what comes on them is not taken
	shedding bool                   // there are still too many: shedOver comes again
	looked   func(net.Conn)         // set by tests: called between the look at a socket and its close
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, idle: map[net.Conn]time.Time{}, shed: map[net.Conn]bool{}}
}

// came counts a connection that has been accepted.
func (c *connections) came() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.shedOver()
}

// left counts one out whose descriptor is free.
func (c *connections) left(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.shed, conn)
	c.count--
}

// shedOver makes room at each arrival, so that none is refused while another is idle, and as long as there are too many:
// once all places are taken nobody comes, and those that were too young at the last arrival would keep everybody out.
func (c *connections) shedOver() {
	if c.count == 0 || !c.over() {
		return
	}
	var old []net.Conn
	for conn, since := range c.idle {
		if time.Since(since) >= idleLeast {
			old = append(old, conn)
		}
	}
	slices.SortFunc(old, func(a, b net.Conn) int { return c.idle[a].Compare(c.idle[b]) })
	for _, conn := range old {
		if !c.over() {
			return
		}
		c.close(conn)
	}
	if c.over() && !c.shedding {
		c.shedding = true
		time.AfterFunc(shedEvery, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.shedding = false
			c.shedOver()
		})
	}
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

// waitNone waits until no connection is open, but not for longer than most.
func (c *connections) waitNone(most time.Duration) {
	for begun := time.Now(); c.open() > 0 && time.Since(begun) < most; time.Sleep(drainSweep) {
	}
}

// over reports whether there are too many that may bring requests. Those that wait for their peers' end bring none:
// for their sake no request is refused.
func (c *connections) over() bool { return c.count-len(c.shed)+c.restart.clients() > c.limit }

// short reports whether there are too many with those, whose places are wanted then.
func (c *connections) short() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count+c.restart.clients() > c.limit
}

// end notes that the node has ended a connection.
func (c *connections) end(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shed[conn] = true
}

func (c *connections) isShed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed[conn]
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if own, ok := conn.(*cappedConn); ok {
			own.rest()
		}
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
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
// send it again. What comes after the look crosses the close, and is read by nobody.
func (c *connections) close(conn net.Conn) {
	own, _ := conn.(*cappedConn)
	if own != nil && own.heard() && !own.stale() || !quietSocket(conn) {
		return
	}
	if c.looked != nil {
		c.looked(conn)
	}
	delete(c.idle, conn)
	c.shed[conn] = true
	if own != nil {
		own.hangUp()
		return
	}
	conn.Close()
}

// quietSocket reports whether nothing has come that is not read yet, not even the end.
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
