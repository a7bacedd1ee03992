package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
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
