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

	"starlingvalve/decide"
)

// Bodies over 64 KiB, which are relayed as they come.

const (
	longLimit  = 32 << 20 // bytes of a body, either way
	pieceSize  = 16 << 10
	kernelSize = 64 << 10                // of the kernel's buffers under a long body
	bodyRate   = 48e3                    // bytes a second that a client sends at least: 64,000, with some slack
	bodyBy     = 2750 * time.Millisecond // from connecting on, a peer that sends nothing more is ended
	bodyWait   = 550 * time.Millisecond  // for a body to begin, at least
	bodyKept   = requestWait             // the same on a kept connection
	stallWait  = 6 * time.Second         // for any progress on a long body
	holdWait   = 100 * time.Millisecond  // an answer of unknown length is held for so long: it may be a short one
)

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// pacedBody reads a request's body, for as long as it comes fast enough.
type pacedBody struct {
	io.Reader
	control *http.ResponseController
	by      time.Time // at the least rate, for what has come so far
	set     time.Time
	over    atomic.Bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.by.Sub(b.set) > bodyWait/10 {
		b.set = b.by
		b.control.SetReadDeadline(b.by)
	}
	if b.over.Load() {
		return 0, errUploadOver
	}
	n, err := b.Reader.Read(p)
	b.by = b.by.Add(time.Duration(float64(n) / bodyRate * float64(time.Second)))
	return n, err
}

// interrupt ends a read that waits, and any that follows.
func (b *pacedBody) interrupt() {
	b.over.Store(true)
	b.control.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads a body, or its first 64 KiB; then more tells that there may be more of it.
func (b *pacedBody) readBody(length int64) (body []byte, more bool, err error) {
	size := int64(bodyLimit)
	if length >= 0 {
		size = min(size, length)
	}
	room := int(size) + 1 // the end is seen when nothing more comes
	body = make([]byte, 0, min(room, pieceSize))
	for err == nil && len(body) < room {
		if len(body) == cap(body) {
			body = slices.Grow(body, 1)
		}
		var n int
		n, err = b.Read(body[len(body):min(cap(body), room)])
		body = body[:len(body)+n]
	}
	if err == io.EOF {
		return body, false, nil
	}
	return body, err == nil, err
}

// bodyStatus is the answer to a client whose body can't be read.
func bodyStatus(err error) (int, error) {
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return http.StatusRequestTimeout, errors.New("the body does not come")
	}
	return http.StatusBadRequest, errors.New("the body is malformed")
}

// upload is the rest of a long request's body, beyond what is kept of it. It can be sent once.
type upload struct {
	body     *pacedBody
	length   int64         // of the whole body; -1 if it is not known
	patience time.Duration // of the client, from the last byte on
	client   *cappedConn
	finished chan struct{} // closed when the last byte has been read

	mu     sync.Mutex
	taker  *requestWriter // who reads it
	closed bool
	failed error
	by     time.Time // when its client waits no longer; set before finished is closed
}

var errUploadOver = errors.New("the rest of the body is not to be had")

// read reads for the first that comes: of two attempts each would get a part. It is not called again after the last
// byte or an error.
func (u *upload) read(w *requestWriter, p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.taker != nil && u.taker != w {
		return 0, errUploadOver
	}
	if u.taker == nil {
		u.taker = w
		w.x.sealed()
	}
	n, err := u.body.Read(p)
	switch {
	case err == io.EOF && u.client.left(): // what it sent may have lain here for long; its end lies behind
		n, err = 0, errClient
	case err == io.EOF:
		u.by = time.Now().Add(u.patience)
		close(u.finished)
	}
	if err != nil && err != io.EOF {
		u.failed = err
	}
	return n, err
}

// failure is the client's error, if there was one.
func (u *upload) failure() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}

// close ends the reading, also one that waits.
func (u *upload) close() {
	if !u.complete() {
		u.body.interrupt()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
}

func (u *upload) used() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.taker != nil || u.closed
}

func (u *upload) complete() bool {
	select {
	case <-u.finished:
		return true
	default:
		return false
	}
}

// until is when its client waits no longer. Before the last byte has come there is no such time.
func (u *upload) until() time.Time {
	if !u.complete() {
		return time.Time{}
	}
	return u.by
}

// uploadError is an error of the client's.
type uploadError struct{ error }

// reader is a function that reads.
type reader func([]byte) (int, error)

func (r reader) Read(p []byte) (int, error) { return r(p) }

// uploadTrip is roundTrip for a long body. The server may answer before it has all of it; then it has not run.
func uploadTrip(ctx context.Context, w *requestWriter, req *http.Request) (r result, keep bool) {
	u, c, x := w.x.upload, w.c, w.x
	if u.used() {
		return result{code: decide.Moot, err: errUploadOver}, false
	}
	if c.used && !w.b.usable(c) { // later it would look like an answer within the body, which is read only once
		return result{code: decide.ConnectFailed, err: errStale}, false
	}
	c.SetWriteBuffer(kernelSize)
	w.limit = u.until
	req.ContentLength, req.Body = u.length, io.NopCloser(io.MultiReader(bytes.NewReader(x.body), reader(func(p []byte) (int, error) {
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
			deadline(u.until())
		}
		wrote <- err
		if err != nil {
			deadline(time.Unix(1, 0)) // ends the wait for an answer
		}
	}()
	c.left.n = answerLimit
	_, silent := c.r.Peek(1)
	early := len(wrote) == 0 && !u.complete()
	if early { // an answer, or the connection's end, within the body
		u.close()
		w.cut.Store(true) // also a piece whose deadline is just being set
		c.SetWriteDeadline(time.Unix(1, 0))
	}
	err := <-wrote
	switch client := u.failure(); {
	case err == nil:
		w.unhook()
		return answerOf(ctx, c, x, req)
	case errors.Is(err, errUploadOver) && !early: // another attempt has it
		return result{code: decide.Moot, err: err}, false
	case client != nil && !early: // err hides it
		return result{code: decide.Moot, err: uploadError{client}}, false
	case early && silent == nil:
		deadline(time.Now().Add(stallWait))
		if r, _ := answerOf(ctx, c, &exchange{}, req); r.code == decide.Full {
			return r, false
		}
	}
	return w.unsent(err), false
}

// download is an answer that is held back until it is whole, or is begun to be passed on.
type download struct {
	begin func(held []byte, rest *io.PipeReader)
	ctx   context.Context

	mu     sync.Mutex
	held   []byte
	begun  bool
	out    *io.PipeWriter
	unhook func() bool // stops what the end of ctx would do to the pipe
}

// start begins to pass the answer on, if it has not begun.
func (d *download) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startLocked()
}

func (d *download) startLocked() {
	if !d.begun {
		d.begun = true
		r, w := io.Pipe()
		d.out = w
		d.unhook = context.AfterFunc(d.ctx, func() { r.CloseWithError(d.ctx.Err()) })
		d.begin(d.held, r)
		d.held = nil
	}
}

// errClient is an end that the server has no part in.
var errClient = errors.New("the client takes no more")

// write holds a piece back or passes it on, and then blocks until it is taken.
func (d *download) write(p []byte) error {
	d.mu.Lock()
	if !d.begun {
		d.held = append(d.held, p...)
		if len(d.held) > bodyLimit {
			d.startLocked()
		}
		d.mu.Unlock()
		return nil
	}
	d.mu.Unlock()
	if _, err := d.out.Write(p); err != nil {
		return errClient
	}
	return nil
}

// end is called when no more comes. It tells whether the answer was held whole.
func (d *download) end(err error) (whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		d.unhook()
		d.out.CloseWithError(err) // io.EOF for nil
		return false
	}
	d.begun = true // the timer comes too late
	return err == nil
}

// readAnswer reads an answer's body. One that is short is returned whole; the rest of a longer one goes to x.begin.
func readAnswer(ctx context.Context, c *conn, x *exchange, resp *http.Response) (body []byte, whole bool, err error) {
	if resp.ContentLength > longLimit {
		return nil, false, errTooLarge
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= bodyLimit || x.begin == nil || resp.StatusCode != http.StatusOK {
		body, err = io.ReadAll(io.LimitReader(resp.Body, bodyLimit+1))
		if err == nil && len(body) > bodyLimit {
			err = errTooLarge
		}
		return body, err == nil, err
	}
	c.left.n = 2 * longLimit // with its framing
	c.SetReadBuffer(kernelSize)
	patient := func() { // from its beginning on an answer may take its time, also the piece that is waited for
		if c.SetReadDeadline(time.Now().Add(stallWait)); ctx.Err() != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // as the end of ctx does
		}
	}
	d := &download{ctx: ctx, begin: func(held []byte, rest *io.PipeReader) {
		patient()
		x.begin(resp, held, rest)
	}}
	if resp.ContentLength > bodyLimit {
		d.start()
	} else {
		defer time.AfterFunc(holdWait, d.start).Stop()
	}
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	for total := 0; ; {
		if d.hasBegun() {
			patient()
		}
		var n int
		n, err = resp.Body.Read(piece[:])
		if total += n; total > longLimit {
			err = errTooLarge
			break
		}
		if n > 0 {
			if werr := d.write(piece[:n]); werr != nil {
				err = werr
				break
			}
		}
		if err != nil {
			break
		}
	}
	if err == io.EOF {
		err = nil
	}
	whole = d.end(err)
	return d.held, whole, err
}

func (d *download) hasBegun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun
}

// relay passes a long answer on to the client. A client that can't have it whole has its connection closed within it.
func (f *frontend) relay(w http.ResponseWriter, r *http.Request, a answer) {
	defer a.rest.CloseWithError(errClient) // after the end nobody sees it
	if conn, ok := r.Context().Value(connKey{}).(interface{ SetWriteBuffer(int) error }); ok {
		conn.SetWriteBuffer(kernelSize)
	}
	control := http.NewResponseController(w)
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	pass := func(p []byte) {
		control.SetWriteDeadline(time.Now().Add(stallWait))
		if _, err := w.Write(p); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	pass(a.body)
	for {
		n, err := a.rest.Read(piece[:])
		if n > 0 {
			pass(piece[:n])
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			f.log.Debug("an answer breaks off", "id", r.Header.Get("X-Correlation-Id"), "err", err)
			panic(http.ErrAbortHandler)
		}
	}
}
