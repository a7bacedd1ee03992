package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// capped accepts no more connections than there are descriptors for. Beyond it they wait, for the moment that
// refusing takes. It keeps *net.TCPConn in sight, as a wrapper would hide CloseWrite from net/http, which then
// resets connections with an answer on them.
type capped struct {
	*net.TCPListener
	slots  chan struct{}
	beside *beside
	ctx    context.Context
}

type cappedConn struct {
	*net.TCPConn
	free    func()
	framing framing
	came    time.Time
	kept    atomic.Bool // a request on it has been read
	heard   atomic.Bool // something has come since it was last idle

	taken    int64        // requests that the handler has got; the serving goroutine's
	answered atomic.Int64 // of these, those whose answer has begun
	ahead    []byte       // what came behind a request that was out; the reader's
	flooded  atomic.Bool  // more came than is kept: the connection ends with the answer
}

// bodyBy is when a body that does not begin is given up.
func (c *cappedConn) bodyBy() time.Time {
	least := time.Now().Add(bodyWait)
	switch {
	case c == nil:
		return least
	case c.kept.Swap(true):
		return time.Now().Add(bodyKept)
	case c.came.Add(bodyBy).After(least):
		return c.came.Add(bodyBy)
	}
	return least
}

func (c *cappedConn) Close() error {
	defer c.free()
	return c.TCPConn.Close()
}

func (l *capped) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
	for len(l.slots)+l.beside.clients() > cap(l.slots) && l.ctx.Err() == nil {
		time.Sleep(otherWait)
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.beside.count(1, 0)
	free := sync.OnceFunc(func() { l.beside.count(-1, 0); <-l.slots })
	return &cappedConn{TCPConn: conn, free: free, came: time.Now()}, nil
}
