package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/policy"
)

// Requests' bodies over 64 KiB.

// pacedBody reads a request's body, for as long as it comes fast enough.
type pacedBody struct {
	io.Reader
	control     *http.ResponseController
	deadline    time.Time // at the least rate, for what has come so far
	deadlineSet time.Time
	stopped     atomic.Bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.deadline.Sub(b.deadlineSet) > bodyStartTimeout/10 {
		b.deadlineSet = b.deadline
		b.control.SetReadDeadline(b.deadline)
	}
	if b.stopped.Load() {
		return 0, errBodyUnavailable
	}
	n, err := b.Reader.Read(p)
	b.deadline = b.deadline.Add(time.Duration(float64(n) / minBodyRate * float64(time.Second)))
	return n, err
}

// interrupt ends a read that waits, and any that follows.
func (b *pacedBody) interrupt() {
	b.stopped.Store(true)
	b.control.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads a body, or its first 64 KiB; then more is true if there may be more of it.
func (b *pacedBody) readBody(length int64) (body []byte, more bool, err error) {
	size := int64(maxBufferedBody)
	if length >= 0 {
		size = min(size, length)
	}
	capacity := int(size) + 1 // the end is seen when nothing more comes
	body = make([]byte, 0, min(capacity, copyBufferSize))
	for err == nil && len(body) < capacity {
		if len(body) == cap(body) {
			body = slices.Grow(body, 1)
		}
		var n int
		n, err = b.Read(body[len(body):min(cap(body), capacity)])
		body = body[:len(body)+n]
	}
	if err == io.EOF {
		return body, false, nil
	}
	return body, err == nil, err
}

// bodyError is the answer to a client whose body can't be read.
func bodyError(err error) *requestError {
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &requestError{http.StatusRequestTimeout, "the body does not come"}
	}
	return &requestError{http.StatusBadRequest, "the body is malformed"}
}

// upload is the rest of a long request's body, beyond what is kept of it. It can be sent once.
type upload struct {
	body     *pacedBody
	length   int64         // of the complete body; -1 if it is not known
	patience time.Duration // of the client, from the last byte on
	client   *clientConn
	complete chan struct{} // closed when the last byte has been read

	mu             sync.Mutex     // guards the fields below
	reader         *requestWriter // who reads it
	closed         bool
	clientError    error
	clientDeadline time.Time // when its client waits no longer; set before complete is closed
}

var errBodyUnavailable = errors.New("the rest of the body is not to be had")

// read reads for the first that comes: of two attempts each would get a part. It is not called again after the last
// byte or an error.
func (u *upload) read(w *requestWriter, p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.reader != nil && u.reader != w {
		return 0, errBodyUnavailable
	}
	if u.reader == nil {
		u.reader = w
		w.exchange.onBodySent()
	}
	n, err := u.body.Read(p)
	switch {
	case err == io.EOF && u.client.clientLeft(): // what it sent may have lain here for long; its end lies behind
		n, err = 0, errClientClosed
	case err == io.EOF:
		u.clientDeadline = time.Now().Add(u.patience)
		close(u.complete)
	}
	if err != nil && err != io.EOF {
		u.clientError = err
	}
	return n, err
}

// readError is the client's error, if there was one.
func (u *upload) readError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clientError
}

// close ends the reading, also one that waits.
func (u *upload) close() {
	if !u.isComplete() {
		u.body.interrupt()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
}

// stopEarly ends the reading, and reports whether that came before the last byte. If it did not, the request may have run:
// the last byte may come in the instant in which the drain takes no more.
func (u *upload) stopEarly() bool {
	u.close()
	return !u.isComplete()
}

func (u *upload) isTaken() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reader != nil || u.closed
}

func (u *upload) isComplete() bool { return isClosed(u.complete) }

// answerDeadline is when its client waits no longer. Before the last byte has come there is no such time.
func (u *upload) answerDeadline() time.Time {
	if !u.isComplete() {
		return time.Time{}
	}
	return u.clientDeadline
}

// uploadError is an error of the client's.
type uploadError struct{ error }

// readFunc is a function that reads.
type readFunc func([]byte) (int, error)

func (r readFunc) Read(p []byte) (int, error) { return r(p) }

// uploadAndRead is writeAndRead for a long body. The server may answer before it has all of it; then it has not run.
func uploadAndRead(ctx context.Context, w *requestWriter, req *http.Request) (r result, keep bool) {
	u := w.exchange.upload
	c := w.conn
	x := w.exchange
	if u.isTaken() {
		return result{code: policy.NotSent, err: errBodyUnavailable}, false
	}
	if c.reused && !w.upstreams.usable(c) { // later it would look like an answer within the body, which is read only once
		return result{code: policy.ConnectFailed, err: errUnexpectedBytes}, false
	}
	c.SetWriteBuffer(kernelBufferSize)
	w.deadline = u.answerDeadline
	req.ContentLength, req.Body = u.length, io.NopCloser(io.MultiReader(bytes.NewReader(x.body), readFunc(func(p []byte) (int, error) {
		return u.read(w, p)
	})))
	deadline := func(t time.Time) { // of the wait for an answer
		if c.SetReadDeadline(t); ctx.Err() != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // as the end of ctx does
		}
	}
	deadline(time.Time{})
	wrote := make(chan error, 1)
	go func() {
		err := req.Write(patientWriter{w})
		if err == nil {
			deadline(u.answerDeadline())
		}
		wrote <- err
		if err != nil {
			deadline(time.Unix(1, 0)) // ends the wait for an answer
		}
	}()
	c.remaining.remaining = maxBufferedAnswer
	_, silent := c.reader.Peek(1)
	early := len(wrote) == 0 && !u.isComplete()
	if early { // an answer, or the connection's end, within the body
		u.close()
		w.stopped.Store(true) // also a piece whose deadline is just being set
		c.SetWriteDeadline(time.Unix(1, 0))
	}
	err := <-wrote
	switch client := u.readError(); {
	case err == nil:
		w.unhook()
		return readResult(ctx, c, x, req)
	case errors.Is(err, errBodyUnavailable) && !early: // another attempt has it
		return result{code: policy.NotSent, err: err}, false
	case client != nil && !early: // err hides it
		return result{code: policy.NotSent, err: uploadError{client}}, false
	case early && silent == nil:
		deadline(time.Now().Add(stallTimeout))
		if r, _ := readResult(ctx, c, &exchange{}, req); r.code == policy.Rejected {
			return r, false
		}
	}
	return w.unsentResult(err), false
}
