package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// The drain cuts an upload short: before its last byte it has not run, and is rejected. The last byte may come in that
// very instant; then it may run, and has to be answered by its attempt.
func TestDrainCrossesAnUploadsLastByte(t *testing.T) {
	t.Parallel()
	for name, last := range map[string]error{"the last byte comes": io.EOF, "it does not": io.ErrUnexpectedEOF} {
		reading, let := make(chan struct{}), make(chan struct{})
		u := &upload{complete: make(chan struct{}), body: &pacedBody{control: http.NewResponseController(httptest.NewRecorder()),
			Reader: readFunc(func([]byte) (int, error) { close(reading); <-let; return 0, last })}}
		w := &requestWriter{exchange: &exchange{onBodySent: func() {}}}
		read, cut := make(chan error), make(chan bool)
		go func() { _, err := u.read(w, make([]byte, 1)); read <- err }()
		<-reading
		go func() { cut <- u.stopEarly() }()
		for !u.body.stopped.Load() { // it is being cut, while the read is under way
		}
		close(let)
		if err := <-read; err != last {
			t.Errorf("%s: %v", name, err)
		}
		if got := <-cut; got != (last != io.EOF) {
			t.Errorf("%s: cut short: %v", name, got)
		}
	}
}
