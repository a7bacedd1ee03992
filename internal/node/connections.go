package node

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	shedInterval = 50 * time.Millisecond
	// crowdedHeadTime is how long a client may take for a request's head, from its first byte, while connections are short.
	crowdedHeadTime = 500 * time.Millisecond
	// crowdedSilenceTime is how long a new client may send nothing while connections are short. Others' requests wait in the
	// accept queue meanwhile, and their time runs.
	crowdedSilenceTime = 100 * time.Millisecond
)

// connections counts the clients' connections, each from its accept until its descriptor is free. Above the limit the node closes
// the connections that have been idle longest, and then those whose clients have been slowest, so that there is always a slot in
// which to read and answer the requests of connections that it has accepted.
type connections struct {
	mu          sync.Mutex // guards count, idle, ended and shedding
	count       int
	limit       int // number of connections above which idle ones are closed
	crowdLimit  int // number of connections above which slow clients are closed too
	restart     *hotRestart
	memory      *memoryBudget
	refusals    *refusals
	idle        map[net.Conn]time.Time // idle connections, and the time from which each has been idle
	unstarted   map[net.Conn]time.Time // connections whose first request's head has not come in full, by the time of the accept
	ended       map[net.Conn]bool      // connections that the node has ended and still counts; requests on them are not served
	shedding    bool                   // there are still too many connections, and a timer will run shedIdle again
	whenCrowded func()                 // called while there are too many connections; may be nil
	beforeClose func(net.Conn)         // set by tests: called between the check for unread data and the close
}

// newConnections returns an empty set of connections that allows the given number of them to carry requests.
func newConnections(limit int) *connections {
	return &connections{limit: limit, crowdLimit: limit, idle: map[net.Conn]time.Time{}, unstarted: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
}

// connAccepted counts a new connection, and sheds idle ones if there are too many now.
func (c *connections) connAccepted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.memory.add(clientConnMemory, clientConnBytes)
	c.shedIdle()
}

// connReleased stops counting a connection whose descriptor is free.
func (c *connections) connReleased(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ended, conn)
	c.count--
	c.memory.add(clientConnMemory, -clientConnBytes)
}

// shedIdle closes idle connections, the longest idle first, until the count is within the limit, and then those whose clients have
// taken longest for the head that is coming, until it is within crowdLimit. It runs at each accept, so
// that no request is rejected while some connection is idle. While there are too many connections it also runs every
// shedInterval: once all slots are taken there are no more accepts, and connections that were idle for less than minIdleTime
// at the last one would keep all new clients out. The caller holds mu.
func (c *connections) shedIdle() {
	if c.count == 0 || !c.overLimitLocked() {
		return
	}
	idle, slow := c.sheddable()
	for _, conn := range idle {
		if !c.overLimitLocked() {
			return
		}
		c.refusals.note(closedIdle, "")
		c.close(conn)
	}
	for _, client := range slow {
		if !c.isCrowdedLocked() {
			break
		}
		c.endSlowHead(client)
	}
	if c.isCrowdedLocked() && c.whenCrowded != nil {
		c.whenCrowded()
	}
	if c.overLimitLocked() && !c.shedding {
		c.shedding = true
		time.AfterFunc(shedInterval, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.shedding = false
			c.shedIdle()
		})
	}
}

// sheddable returns the connections that have been idle for minIdleTime, and those whose clients have taken crowdedHeadTime for a
// head that is not complete, or have sent nothing for crowdedSilenceTime since the accept. Each list has the oldest connection first. The caller holds mu.
func (c *connections) sheddable() (idle []net.Conn, slow []*clientConn) {
	slowSince := map[*clientConn]time.Time{}
	for conn, since := range c.idle {
		client, _ := conn.(*clientConn)
		if client != nil && client.hasPendingRequest() {
			since = time.Unix(0, client.framing.headBegan.Load())
			if time.Since(since) >= crowdedHeadTime {
				slowSince[client] = since
			}
		} else if time.Since(since) >= minIdleTime {
			idle = append(idle, conn)
		}
	}
	for conn, since := range c.unstarted {
		client, ok := conn.(*clientConn)
		if !ok {
			continue
		}
		limit := crowdedSilenceTime
		if client.hasPendingRequest() {
			since, limit = time.Unix(0, client.framing.headBegan.Load()), crowdedHeadTime
		}
		if time.Since(since) >= limit {
			slowSince[client] = since
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return c.idle[a].Compare(c.idle[b]) })
	slow = slices.SortedFunc(maps.Keys(slowSince), func(a, b *clientConn) int { return slowSince[a].Compare(slowSince[b]) })
	return idle, slow
}

// endSlowHead ends a connection on which a head is coming, or nothing has come. If bytes have come that no read has returned yet,
// the head may be complete with them, and the connection is left as it is. The caller holds mu.
func (c *connections) endSlowHead(client *clientConn) {
	if !hasNoUnreadData(client) {
		return
	}
	delete(c.idle, client)
	delete(c.unstarted, client)
	c.ended[client] = true
	c.refusals.note(closedSlowHead, "")
	client.endHead()
}

// overLimit is overLimitLocked for a caller that does not hold mu.
func (c *connections) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overLimitLocked()
}

// open returns the number of connections whose descriptors are in use.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// waitUntilNone waits until no connection is open, but at most for the given time.
func (c *connections) waitUntilNone(maximum time.Duration) {
	for start := time.Now(); c.open() > 0 && time.Since(start) < maximum; time.Sleep(drainPollInterval) {
	}
}

// overLimitLocked reports whether more connections that may carry requests are open than the limit allows, including those of
// the other process of a hot restart. Connections that the node has ended and that wait for their peer's end carry no
// requests, so they are not a reason to reject any. The caller holds mu.
func (c *connections) overLimitLocked() bool {
	return c.count-len(c.ended)+c.restart.clientConns() > c.limit
}

// isCrowded reports whether so many connections are open that slow clients have to make room for others.
func (c *connections) isCrowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCrowdedLocked()
}

// isCrowdedLocked is isCrowded for a caller that holds mu.
func (c *connections) isCrowdedLocked() bool {
	return c.count-len(c.ended)+c.restart.clientConns() > c.crowdLimit
}

// overLimitWithEnded reports whether there are too many connections if those that the node has ended count too. Their slots
// are needed then.
func (c *connections) overLimitWithEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count+c.restart.clientConns() > c.limit
}

// markEnded records that the node has ended a connection.
func (c *connections) markEnded(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[conn] = true
}

// isEnded reports whether the node has ended a connection, so that no request on it is served.
func (c *connections) isEnded(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[conn]
}

// track is called by net/http when the state of a connection changes. It records which connections are idle.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.unstarted[conn] = time.Now()
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if client, ok := conn.(*clientConn); ok {
			client.requestDone()
		}
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(c.unstarted, conn)
		delete(c.idle, conn)
	}
}

// closeIdle closes the connections that have been idle for at least the given time.
func (c *connections) closeIdle(minimum time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) >= minimum {
			c.close(conn)
		}
	}
}

// closeIdleInDrain closes the connections that have been idle for minIdleTime, on which clients can't count any more. If
// there are too many connections, including those of a newer process of this node, it closes all idle ones.
func (c *connections) closeIdleInDrain() {
	minimum := minIdleTime
	if c.overLimit() {
		minimum = 0
	}
	c.closeIdle(minimum)
}

// close closes an idle connection, unless a request has arrived or is being read on it, which the client would have to send
// again. Bytes that arrive after the check cross the close and are not read as a request. The caller holds mu.
func (c *connections) close(conn net.Conn) {
	client, _ := conn.(*clientConn)
	if client != nil && client.hasPendingRequest() && !client.isStalled() || !hasNoUnreadData(conn) {
		return
	}
	if c.beforeClose != nil {
		c.beforeClose(conn)
	}
	delete(c.idle, conn)
	c.ended[conn] = true
	if client != nil {
		client.endIdle()
		return
	}
	conn.Close()
}

// hasNoUnreadData reports whether the socket holds neither unread bytes nor an unread end of the connection.
func hasNoUnreadData(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // the connection is closed already
	}
	noData := true
	raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
	})
	return noData
}
