package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"meadowsill/policy"
)

// What the kernel has accepted and the node has not, for want of a place, is not reset as the listener closes. It is
// accepted as places become free, and has an answer.
func TestDrainEmptiesTheQueue(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 9, 2)
	s.serve()
	var silent [2]net.Conn
	for i := range silent {
		silent[i], _ = s.dial(t)
	}
	await(t, "place taken", func() bool { return s.connections.open() == 2 })
	waiting, r := s.dial(t)
	io.WriteString(waiting, message("read", "9.5", ""))
	drained := make(chan struct{})
	go func() { s.drain(s.l, s.ended); close(drained) }()
	<-s.drainClosed
	time.Sleep(3 * drainPollInterval) // a drain that closes the listener now has done so
	for _, c := range silent {
		c.Close()
	}
	toEnd(t, r, http.StatusServiceUnavailable)
	waiting.Close()
	<-drained
	if c, err := net.Dial("tcp", s.l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open after the drain")
	}
}

// The drain waits for a connection that Accept has returned and net/http has not seen, and for Accept itself, which may
// have one that it has not counted.
func TestDrainWaitsForAccept(t *testing.T) {
	t.Parallel()
	for _, acceptLast := range []bool{false, true} {
		s := newClientSide(t, 9, 9)
		c, _ := s.dial(t)
		conn, err := s.l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		drained := make(chan struct{})
		go func() { s.drain(s.l, s.ended); close(drained) }()
		<-s.l.done // the listener is closed
		steps := []func(){func() { s.ended <- nil }, func() { c.Close(); conn.Close() }}
		if acceptLast {
			steps[0], steps[1] = steps[1], steps[0]
		}
		for _, step := range steps {
			time.Sleep(3 * drainPollInterval) // a drain that waits for neither has ended by then
			select {
			case <-drained:
				t.Fatalf("the drain has ended too early, Accept last: %v", acceptLast)
			default:
				step()
			}
		}
		<-drained
	}
}

// A request that nothing else ends is failed by the drain in time.
func TestDrainGivesUp(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 9, 9) // its loop does not run: no request ends
	short := settings()
	for i := range short.Classes {
		short.Classes[i].Deadline = 100 * time.Millisecond
	}
	s.loop.rules.Store(newRequestRules(short))
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, message("order", "9.5", ""))
	await(t, "request", func() bool { return len(s.loop.events) == 1 })
	drained := make(chan struct{})
	go func() { s.drain(s.l, s.ended); close(drained) }()
	toEnd(t, r, http.StatusBadGateway)
	c.Close()
	<-drained
}

// Whatever a client's patience: the node's end does not cut off the answers to those that are open by then.
func TestUnansweredIsFailedBeforeTheKill(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 9)
	addr := backend(t, answering(func(*http.Request, []byte) string { came <- struct{}{}; <-t.Context().Done(); return "" }))
	c := &Config{Settings: settings(), Known: known(addr)}
	c.Settings.MayHedge = false
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = 100 * time.Millisecond
	}
	n := start(t, c)
	n.waitReady(t, 200)
	client, r := n.dial(t)
	io.WriteString(client, message("order", "9.5", "b"))
	<-came
	n.stop()
	toEnd(t, r, http.StatusBadGateway)
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

// A request is answered by the time at which SIGKILL may come, and one with a deadline of 3 s at most by its own.
func TestDrainTimes(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		unanswered, last := drainTimes([]policy.Class{{Deadline: time.Millisecond}, {Deadline: longest}})
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		if unanswered >= kill || unanswered > last || last < longest {
			t.Errorf("deadline %v: unanswered until %v, SIGKILL at %v, the end at %v", longest, unanswered, kill, last)
		}
		if over := drainAcceptTime + longest + overdueDelay; longest <= 3*time.Second && over >= unanswered {
			t.Errorf("deadline %v: over at %v, failed already at %v", longest, over, unanswered)
		}
	}
}

// Whatever the descriptors: there are some besides the clients' and servers', and clients may use a third of all for
// requests, each with an attempt.
func TestSharedSockets(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		clients, servers := divideSockets(sockets)
		requests := min(int(float64(clients)*softLimitPart), servers)
		if clients+servers+reservedSockets > sockets || sockets >= 256 && requests < sockets/3 {
			t.Fatalf("%d descriptors: %d clients, %d servers, %d requests", sockets, clients, servers, requests)
		}
	}
}
