package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"meadowsill/policy"
)

// A connection that the kernel has accepted and the node has not, because all slots are taken, is not reset when the listener
// closes. The drain accepts it when a slot becomes free, and its request gets an answer.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 9, 2)
	s.serve()
	var silent [2]net.Conn
	for i := range silent {
		silent[i], _ = s.dial(t)
	}
	await(t, "the slots to be taken", func() bool { return s.connections.open() == 2 })
	waiting, r := s.dial(t)
	io.WriteString(waiting, requestText("read", "9.5", ""))
	drained := make(chan struct{})
	go func() { s.drain(s.listener, s.ended); close(drained) }()
	<-s.drainClosed
	time.Sleep(3 * drainPollInterval) // by then a wrong drain would have closed the listener
	for _, c := range silent {
		c.Close()
	}
	readAnswerAndEnd(t, r, http.StatusServiceUnavailable)
	waiting.Close()
	<-drained
	if c, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open after the drain")
	}
}

// The drain waits for a connection that Accept has returned and net/http has not reported yet, and for Accept itself, which may
// have a connection that it has not counted yet.
func TestDrainWaitsForAccept(t *testing.T) {
	t.Parallel()
	for _, acceptLast := range []bool{false, true} {
		s := newFrontendOnly(t, 9, 9)
		c, _ := s.dial(t)
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		drained := make(chan struct{})
		go func() { s.drain(s.listener, s.ended); close(drained) }()
		<-s.listener.done // the listener is closed
		steps := []func(){func() { s.ended <- nil }, func() { c.Close(); conn.Close() }}
		if acceptLast {
			steps[0], steps[1] = steps[1], steps[0]
		}
		for _, step := range steps {
			time.Sleep(3 * drainPollInterval) // by then a drain that does not wait would have ended
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

// The drain fails a request that nothing else ends, early enough for the answer to be read.
func TestDrainFailsUnansweredRequests(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 9, 9) // the event loop does not run, so no request ends
	short := settings()
	for i := range short.Classes {
		short.Classes[i].Deadline = 100 * time.Millisecond
	}
	s.loop.rules.Store(newRequestRules(short))
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, requestText("order", "9.5", ""))
	await(t, "request", func() bool { return len(s.loop.events) == 1 })
	drained := make(chan struct{})
	go func() { s.drain(s.listener, s.ended); close(drained) }()
	readAnswerAndEnd(t, r, http.StatusBadGateway)
	c.Close()
	<-drained
}

// A client may wait longer than the drain lasts. The end of the node does not cut off the answers to the requests that are
// still open then.
func TestUnansweredIsFailedBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 9)
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { came <- struct{}{}; <-t.Context().Done(); return "" }))
	c := &Config{Settings: settings(), Known: readyServers(addr)}
	c.Settings.MayHedge = false
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = 100 * time.Millisecond
	}
	n := start(t, c)
	n.waitReady(t, 200)
	client, r := n.dial(t)
	io.WriteString(client, requestText("order", "9.5", "b"))
	<-came
	n.stop()
	readAnswerAndEnd(t, r, http.StatusBadGateway)
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

// A request is answered before the time at which SIGKILL may come, and one with a deadline of at most 3 s by its own deadline.
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

// For any number of descriptors some are left besides those for clients and servers. From 256 descriptors on, at least a third
// as many requests can be served at a time, each with an attempt.
func TestDivideSockets(t *testing.T) {
	for sockets := minSockets; sockets <= 4096; sockets++ {
		clients, servers := divideSockets(sockets)
		requests := min(int(float64(clients)*softLimitPart), servers)
		if clients+servers+reservedSockets > sockets || sockets >= 256 && requests < sockets/3 {
			t.Fatalf("%d descriptors: %d clients, %d servers, %d requests", sockets, clients, servers, requests)
		}
	}
}
