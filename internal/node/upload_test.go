package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// The drain stops an upload early. Before its last byte the request has not run, and is rejected. If the last byte comes at the
// same moment, the request may run, and its attempt has to answer it.
func TestDrainCrossesAnUploadsLastByte(t *testing.T) {
	t.Parallel()
	for name, readErr := range map[string]error{"the last byte comes": io.EOF, "it does not": io.ErrUnexpectedEOF} {
		reading, release := make(chan struct{}), make(chan struct{})
		u := &upload{clock: newAnswerClock(testTimeout), complete: make(chan struct{}), body: &pacedBody{control: http.NewResponseController(httptest.NewRecorder()),
			Reader: readFunc(func([]byte) (int, error) { close(reading); <-release; return 0, readErr })}}
		w := &requestWriter{exchange: &exchange{onBodySent: func() {}}}
		read, stoppedEarly := make(chan error), make(chan bool)
		go func() { _, err := u.read(w, make([]byte, 1)); read <- err }()
		<-reading
		go func() { stoppedEarly <- u.stopEarly() }()
		for !u.body.stopped.Load() { // until stopEarly has begun, while the read still waits
		}
		close(release)
		if err := <-read; err != readErr {
			t.Errorf("%s: %v", name, err)
		}
		if got := <-stoppedEarly; got != (readErr != io.EOF) {
			t.Errorf("%s: stopEarly returned %v", name, got)
		}
	}
}

// The time of a client that is slow with its body passes while the node waits for the body. The drain still rejects the request, and
// does not wait until the client goes on.
func TestDrainStopsUploadAfterClientsTime(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{}, 1) // the app server has received a part of the body that can't be sent again
	addr := startServer(t, func(c net.Conn) {
		io.CopyN(io.Discard, c, 2*maxBufferedBody)
		begun <- struct{}{}
		io.Copy(io.Discard, c)
	})
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	c, r := n.dial(t)
	const timeLeft = time.Second
	head := orderHeadFor(timeLeft, "Content-Length: 1000000")
	const sent = 400000 // allows the client to pause for as many bytes at minBodyRate
	io.WriteString(c, head+strings.Repeat("b", sent))
	<-begun
	time.Sleep(timeLeft + timeLeft/2)
	stopped := time.Now()
	n.stop()
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v, %v", resp, err)
	}
	if took := time.Since(stopped); took > drainAcceptTime+answerBy {
		t.Errorf("the answer came %v after the drain's beginning", took)
	}
}
