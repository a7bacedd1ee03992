package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/policy"
)

// This file has request bodies over 64 KiB, which the node relays while they arrive.

// pacedBody reads a request's body for as long as the client sends it at minBodyRate or faster.
type pacedBody struct {
	io.Reader
	control     *http.ResponseController
	allowance   time.Duration // for the next bytes; each byte read extends it by the time that the byte takes at minBodyRate
	deadlineSet time.Time
	stopped     atomic.Bool
	waits       atomic.Bool  // a read waits for the client
	lastRead    atomic.Int64 // time of the last read that returned bytes, in Unix nanoseconds
}

// Read reads from the body within the allowance, which the bytes that it returns extend. Time that passes between two reads is
// not the client's.
func (b *pacedBody) Read(p []byte) (int, error) {
	began := time.Now()
	if deadline := began.Add(b.allowance); deadline.Sub(b.deadlineSet).Abs() > bodyStartTimeout/10 {
		b.deadlineSet = deadline
		b.control.SetReadDeadline(deadline)
	}
	if b.stopped.Load() {
		return 0, errBodyUnavailable
	}
	b.waits.Store(true)
	n, err := b.Reader.Read(p)
	b.waits.Store(false)
	now := time.Now()
	if n > 0 {
		b.lastRead.Store(now.UnixNano())
	}
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{}) // it would end net/http's read for the client's end, which has begun
	}
	gained := time.Duration(float64(n) / minBodyRate * float64(time.Second))
	b.allowance = min(b.allowance-now.Sub(began)+gained, max(b.allowance, maxBodyPause))
	return n, err
}

// interrupt ends a waiting read, and makes all later ones fail.
func (b *pacedBody) interrupt() {
	b.stopped.Store(true)
	b.control.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads a whole body, or the first 64 KiB and one byte of a longer one. In the second case more is true.
// It calls grow before it takes more memory for the body, and returns errNoMemory if grow returns false.
func (b *pacedBody) readBody(length int64, grow func(bytes int64) bool) (body []byte, more bool, err error) {
	capacity := maxBufferedBody + 1 // with space for another byte, so that the read after the last byte sees the end
	first := includedPayload        // the length is not known: most bodies are short
	if length >= 0 {
		capacity = int(min(length, maxBufferedBody)) + 1
		first = capacity
	}
	if !grow(beyondIncluded(first)) {
		return nil, false, errNoMemory
	}
	body = make([]byte, 0, first)
	for err == nil && len(body) < capacity {
		if len(body) == cap(body) {
			grown := min(capacity, bodyGrowthFactor*cap(body))
			if !grow(int64(grown - cap(body))) {
				return nil, false, errNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
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

// bodyError returns the rejection of a request whose body can't be read because of err.
func bodyError(err error) *requestError {
	if rejected := (*requestError)(nil); errors.As(err, &rejected) {
		return rejected
	}
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &requestError{http.StatusRequestTimeout, "the body does not come"}
	}
	return &requestError{http.StatusBadRequest, "the body is malformed"}
}

// upload is the rest of a long request's body, after the beginning that the node has buffered. It is not stored, so only one
// attempt can send it.
type upload struct {
	body     *pacedBody
	length   int64 // of the complete body, in bytes; -1 if it is not known
	received int64 // number of bytes of the body that have been read; only the reader of the body uses it
	clock    *answerClock
	client   *clientConn
	complete chan struct{} // closed when the last byte has been read

	held       *memoryHold // of the request
	startBytes int64       // bytes of held for the beginning of the body, which no attempt needs once one has sent it

	mu          sync.Mutex     // guards the fields below
	reader      *requestWriter // the attempt that reads the body, or nil
	closed      bool
	clientError error
}

var errBodyUnavailable = errors.New("the rest of the body is not available")

// read reads from the body for the attempt that calls it first, and fails for any other: two attempts would each get a part
// of the body. It is not called again after the last byte or an error.
func (u *upload) read(w *requestWriter, p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.reader != nil && u.reader != w {
		return 0, errBodyUnavailable
	}
	if u.reader == nil {
		u.reader = w
		w.exchange.onBodySent()
		u.held.shrink(u.startBytes)
	}
	if u.client.awaitsBody() || u.exceedsKernelBuffers() {
		u.clock.setIncomplete(true)
	}
	n, err := u.body.Read(p)
	u.received += int64(n)
	u.clock.setIncomplete(false)
	switch {
	case err == io.EOF && u.client.clientLeft(): // the client may have ended long ago, with its bytes unread in the socket
		n, err = 0, errClientClosed
	case err == io.EOF:
		close(u.complete)
	}
	if err != nil && err != io.EOF {
		u.clientError = err
	}
	return n, err
}

// readError returns the error with which the client's body ended early, or nil.
func (u *upload) readError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clientError
}

// close ends the reading of the body, including a read that waits.
func (u *upload) close() {
	if !u.isComplete() {
		u.body.interrupt()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
}

// stopEarly ends the reading of the body, and reports whether it ended before the last byte. If it did not, the request may
// have run: the last byte may come at the moment at which the drain stops taking requests.
func (u *upload) stopEarly() bool {
	u.close()
	return !u.isComplete()
}

// isTaken reports whether an attempt reads the body, or none can any more. It waits while the body is being read.
func (u *upload) isTaken() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reader != nil || u.closed
}

// isComplete reports whether the last byte has been read.
func (u *upload) isComplete() bool { return isClosed(u.complete) }

// stalled is called by the reader of the body when the app server takes no more bytes for now.
func (u *upload) stalled() {
	if u.exceedsKernelBuffers() {
		u.clock.setIncomplete(true)
	}
}

// exceedsKernelBuffers reports whether more of the body is missing than the kernels of client and node hold. The client can't
// have written its last byte then, however long the server pauses. It is called by the reader of the body.
func (u *upload) exceedsKernelBuffers() bool {
	missing := u.length - u.received
	return u.length >= 0 && missing > maxClientSendBuffer && missing > maxClientSendBuffer+receiveBufferSize(u.client)
}

// uploadError is an attempt's error of which the client's connection or body is the cause, and not the server.
type uploadError struct{ error }

// readFunc makes a function an io.Reader.
type readFunc func([]byte) (int, error)

func (r readFunc) Read(p []byte) (int, error) { return r(p) }

// uploadAndRead is writeAndRead for a request with a long body. If the server answers before it has received the whole body,
// the request has not run.
func uploadAndRead(ctx context.Context, w *requestWriter, req *http.Request) (r result, keep bool) {
	u := w.exchange.upload
	c := w.conn
	x := w.exchange
	if u.isTaken() {
		return result{code: policy.NotSent, err: errBodyUnavailable}, false
	}
	// Bytes that belong to no request have to be noticed now. Later they would look like an answer within the body, and the
	// body could not be read again for another connection.
	if c.reused && !w.upstreams.usable(c) {
		return result{code: policy.ConnectFailed, err: errUnexpectedBytes}, false
	}
	c.SetWriteBuffer(kernelBufferSize)
	w.deadline = u.clock.deadline
	req.ContentLength = u.length
	body := io.MultiReader(bytes.NewReader(x.body), readFunc(func(p []byte) (int, error) { return u.read(w, p) }))
	x.body = nil                    // only body holds it now, until it is sent
	deadline := func(t time.Time) { // sets the deadline of the wait for an answer
		if c.SetReadDeadline(t); ctx.Err() != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // again: t may have replaced the deadline that the end of ctx set
		}
	}
	deadline(time.Time{})
	writeDone := make(chan error, 1)
	go func() {
		buf, releaseBuffer := copyBuffer(x.held)
		defer releaseBuffer()
		err := writeLongRequest(stallLimitedWriter{w}, req, body, buf)
		if err == nil {
			deadline(u.clock.deadline())
		}
		writeDone <- err
		if err != nil {
			deadline(time.Unix(1, 0)) // ends the wait for an answer
		}
	}()
	c.answerLimit.remaining = maxBufferedAnswer
	_, peekErr := c.reader.Peek(1)
	early := len(writeDone) == 0 && !u.isComplete()
	if early { // an answer, or the connection's end, has come within the body
		u.close()
		w.stopped.Store(true) // also stops a write that is just setting its deadline and would replace the one set here
		c.SetWriteDeadline(time.Unix(1, 0))
	}
	err := <-writeDone
	switch clientErr := u.readError(); {
	case err == nil:
		w.detachRequest()
		return readResult(ctx, c, x, req)
	case errors.Is(err, errBodyUnavailable) && !early: // another attempt reads the body
		return result{code: policy.NotSent, err: err}, false
	case clientErr != nil && !early: // err does not show the client's error
		return result{code: policy.NotSent, err: uploadError{clientErr}}, false
	case early && peekErr == nil:
		deadline(earliest(u.clock.deadline(), time.Now().Add(stallTimeout)))
		if r, _ := readResult(ctx, c, &exchange{}, req); r.code == policy.Rejected {
			return r, false
		}
	}
	return w.unsentResult(err), false
}
