package node

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"meadowsill/policy"
)

// How a request is written to a backend. Until the kernel has its last byte an attempt has not run, and may be let go
// without leave to cancel; from then on it may have run.

var (
	errOver   = errors.New("the request is over")
	errWindow = errors.New("the keyed window is over")
	errStale  = errors.New("what has come on the connection belongs to no request")
)

// requestWriter writes a request to a connection. Before each piece that the kernel takes at once it looks at all that
// may have changed: connecting takes time, a write may stall, and what counts is the last byte.
type requestWriter struct {
	ctx    context.Context
	b      *backends
	h      *host
	c      *conn
	x      *exchange
	limit  func() time.Time // when what is written is too late; the zero time is never
	begun  bool             // the kernel has taken something
	cut    atomic.Bool      // no more is wanted
	unhook func() bool      // from the end of the request, which is nothing to it after the last byte
}

// newWriter begins to heed the end of the request, which ends a write that stalls. Writers set their deadline and look at
// the request after that: an end that came before would have set another.
func newWriter(ctx context.Context, b *backends, h *host, c *conn, x *exchange) *requestWriter {
	w := &requestWriter{ctx: ctx, b: b, h: h, c: c, x: x, limit: func() time.Time { return x.deadline }}
	w.unhook = func() bool { return true }
	if x.life != nil {
		w.unhook = sync.OnceValue(context.AfterFunc(x.life, func() { c.SetWriteDeadline(time.Unix(1, 0)) }))
	}
	return w
}

// due is when the last byte has to be written.
func (w *requestWriter) due() time.Time { return earlier(w.limit(), w.x.writeBy) }

// earlier gives the first of two times; the zero time is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Write writes all of p, or says why not; then p's last byte is not written: an error comes with no more than a part.
func (w *requestWriter) Write(p []byte) (n int, err error) {
	w.c.SetWriteDeadline(w.due())
	return w.write(p)
}

// patientWriter gives each piece its time, but none beyond the request's.
type patientWriter struct{ *requestWriter }

func (w patientWriter) Write(p []byte) (int, error) {
	w.c.SetWriteDeadline(earlier(w.due(), time.Now().Add(stallWait)))
	return w.write(p)
}

// write is Write under the deadline that is set.
func (w *requestWriter) write(p []byte) (n int, err error) {
	waited := w.c.raw.Write(func(fd uintptr) bool {
		for n < len(p) && err == nil {
			var some int
			some, err = w.piece(int(fd), p[n:])
			n += some
		}
		if err == syscall.EAGAIN {
			err = nil
			return false // called again when there is room, or the deadline comes
		}
		return true
	})
	if n == len(p) {
		return n, nil
	}
	if err == nil {
		err = waited
	}
	if why := w.over(); why != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = why // it set the deadline
	}
	return n, err
}

// piece has the kernel take what it has room for. A request's end waits for that moment, and after it none begins: so a
// request that the node has answered as never sent is not sent after all.
func (w *requestWriter) piece(fd int, p []byte) (int, error) {
	if w.x.writing != nil {
		w.x.writing.Lock()
		defer w.x.writing.Unlock()
	}
	if err := w.over(); err != nil {
		return 0, err
	}
	if !w.begun {
		// A list that comes within the write does not end it: for drains a send counts from its first byte.
		if w.b.closing(w.h) {
			return 0, errClosed
		}
		// What comes after this look and before the answer can't be distinguished from the answer.
		if w.c.used && w.x.upload == nil && !nothingCame(fd) {
			return 0, errStale
		}
	}
	for {
		n, err := syscall.Write(fd, p)
		if err == syscall.EINTR {
			continue
		}
		w.begun = w.begun || n > 0
		return max(n, 0), err
	}
}

// over says why no more of the request may be written, or nothing if it may.
func (w *requestWriter) over() error {
	now := time.Now()
	switch limit := w.limit(); {
	case w.x.life != nil && w.x.life.Err() != nil:
		return errOver
	case w.ctx.Err() != nil:
		return w.ctx.Err()
	case w.cut.Load():
		return errUploadOver
	case !w.x.writeBy.IsZero() && !now.Before(w.x.writeBy):
		return errWindow
	case !limit.IsZero() && !now.Before(limit):
		return os.ErrDeadlineExceeded
	}
	return nil
}

// untouched reports whether the connection is as it was before: nothing was written, and not for any fault of its own.
func (w *requestWriter) untouched(err error) bool {
	return !w.begun && w.x.upload == nil && (errors.Is(err, errOver) || errors.Is(err, errWindow) ||
		errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()))
}

// unsent is the outcome of an attempt whose last byte is not written: it never ran.
func (w *requestWriter) unsent(err error) result {
	switch {
	case errors.Is(err, errOver), errors.Is(err, errWindow):
		return result{code: policy.NotSent, err: err}
	case w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()):
		return result{code: policy.Cancelled, err: err}
	}
	return result{code: policy.ConnectFailed, err: err}
}
