package hollow

import (
	"io"
	"net"
	"sync"
)

// Meter counts the traffic of real agents, which connect to the replicas through its relays. It counts in the same way and by the
// same kinds of call as for hollow nodes.
type Meter struct {
	sockets     *sockets
	connections *connections
	mu          sync.Mutex
	listeners   []net.Listener
	running     sync.WaitGroup
}

// NewMeter returns a Meter without relays.
func NewMeter() *Meter {
	s := newSockets()
	return &Meter{sockets: s, connections: s.connections()}
}

// Relay opens a listener whose connections are forwarded to a replica, and returns its address.
func (m *Meter) Relay(replica string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	m.listeners = append(m.listeners, listener)
	m.mu.Unlock()
	m.running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			m.running.Go(func() { m.forward(client, replica) })
		}
	})
	return listener.Addr().String(), nil
}

// forward copies the bytes of one connection in both directions until either end closes it.
func (m *Meter) forward(client net.Conn, replica string) {
	defer client.Close()
	upstream, err := net.DialTimeout("tcp", replica, dialTimeout)
	if err != nil {
		return
	}
	counted := m.connections.add(upstream)
	defer counted.Close()
	m.running.Go(func() {
		defer client.Close()
		io.Copy(client, struct{ io.Reader }{counted})
	})
	io.Copy(struct{ io.Writer }{counted}, struct{ io.Reader }{client})
}

// Traffic returns the counts so far, by kind of call.
func (m *Meter) Traffic() map[Call]Traffic { return m.sockets.traffic() }

// ReportBytes returns the bytes of report bodies so far.
func (m *Meter) ReportBytes() uint64 { return m.sockets.reportBytes.Load() }

// Close closes every relay and its connections.
func (m *Meter) Close() {
	m.mu.Lock()
	for _, listener := range m.listeners {
		listener.Close()
	}
	m.mu.Unlock()
	m.connections.close()
	m.running.Wait()
}
