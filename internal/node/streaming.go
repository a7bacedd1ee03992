package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Bodies over 64 KiB, which are relayed as they come: the limits, and answers' (upload.go has requests').

const (
	maxLongBody       = 32 << 20 // bytes of a body, either way
	copyBufferSize    = 16 << 10
	kernelBufferSize  = 64 << 10                // of the kernel's buffers under a long body
	minBodyRate       = 48e3                    // bytes a second that a client sends at least: 64,000, with some slack
	bodyConnDeadline  = 2750 * time.Millisecond // from connecting on, a peer that sends nothing more is ended
	bodyStartTimeout  = 550 * time.Millisecond  // for a body to begin, at least
	reusedBodyTimeout = requestHeadTimeout      // the same on a kept connection
	stallTimeout      = 6 * time.Second         // for any progress on a long body
	streamDelay       = 100 * time.Millisecond  // an answer of unknown length is held for so long: it may be a short one
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// streamedAnswer is an answer that is held back until it is complete, or is begun to be passed on.
type streamedAnswer struct {
	onStart func(held []byte, rest *io.PipeReader)
	ctx     context.Context

	mu       sync.Mutex // guards the fields below
	buffered []byte
	started  bool
	pipe     *io.PipeWriter
	unhook   func() bool // stops what the end of ctx would do to the pipe
}

// start begins to pass the answer on, if it has not begun.
func (d *streamedAnswer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startLocked()
}

func (d *streamedAnswer) startLocked() {
	if !d.started {
		d.started = true
		r, w := io.Pipe()
		d.pipe = w
		d.unhook = context.AfterFunc(d.ctx, func() { r.CloseWithError(d.ctx.Err()) })
		d.onStart(d.buffered, r)
		d.buffered = nil
	}
}

// errClientClosed is an end that the server has no part in.
var errClientClosed = errors.New("the client takes no more")

// write holds a piece back or passes it on, and then blocks until it is taken.
func (d *streamedAnswer) write(p []byte) error {
	d.mu.Lock()
	if !d.started {
		d.buffered = append(d.buffered, p...)
		if len(d.buffered) > maxBufferedBody {
			d.startLocked()
		}
		d.mu.Unlock()
		return nil
	}
	d.mu.Unlock()
	if _, err := d.pipe.Write(p); err != nil {
		return errClientClosed
	}
	return nil
}

// finish is called when no more comes. It reports whether the answer was buffered completely.
func (d *streamedAnswer) finish(err error) (complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		d.unhook()
		d.pipe.CloseWithError(err) // io.EOF for nil
		return false
	}
	d.started = true // the timer comes too late
	return err == nil
}

// readAnswer reads an answer's body. One that is short is returned whole; the rest of a longer one goes to x.begin.
func readAnswer(ctx context.Context, c *upstreamConn, x *exchange, resp *http.Response) (body []byte, complete bool, err error) {
	if resp.ContentLength > maxLongBody {
		return nil, false, errTooLarge
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody || x.onStream == nil || resp.StatusCode != http.StatusOK {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
		if err == nil && len(body) > maxBufferedBody {
			err = errTooLarge
		}
		return body, err == nil, err
	}
	c.remaining.remaining = 2 * maxLongBody // with its framing
	c.SetReadBuffer(kernelBufferSize)
	patient := func() { // from its beginning on an answer may take its time, also the piece that is waited for
		if c.SetReadDeadline(time.Now().Add(stallTimeout)); ctx.Err() != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // as the end of ctx does
		}
	}
	d := &streamedAnswer{ctx: ctx, onStart: func(held []byte, rest *io.PipeReader) {
		patient()
		x.onStream(resp, held, rest)
	}}
	if resp.ContentLength > maxBufferedBody {
		d.start()
	} else {
		defer time.AfterFunc(streamDelay, d.start).Stop()
	}
	piece := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(piece)
	for total := 0; ; {
		if d.hasStarted() {
			patient()
		}
		var n int
		n, err = resp.Body.Read(piece[:])
		if total += n; total > maxLongBody {
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
	complete = d.finish(err)
	return d.buffered, complete, err
}

func (d *streamedAnswer) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// relayStream passes a long answer on to the client. A client that can't have it whole has its connection closed within it.
func (f *frontend) relayStream(w http.ResponseWriter, r *http.Request, a answer) {
	defer a.stream.CloseWithError(errClientClosed) // after the end nobody sees it
	if conn, ok := r.Context().Value(connKey{}).(interface{ SetWriteBuffer(int) error }); ok {
		conn.SetWriteBuffer(kernelBufferSize)
	}
	control := http.NewResponseController(w)
	piece := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(piece)
	pass := func(p []byte) {
		control.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := w.Write(p); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	pass(a.body)
	for {
		n, err := a.stream.Read(piece[:])
		if n > 0 {
			pass(piece[:n])
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			f.log.Debug("answer truncated", "id", r.Header.Get("X-Correlation-Id"), "err", err)
			panic(http.ErrAbortHandler)
		}
	}
}
