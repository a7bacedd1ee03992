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

// end is called when no more comes. It reports whether the answer was held whole.
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
