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
	errRequestOver     = errors.New("the request is over")
	errDedupWindowOver = errors.New("the keyed window is over")
	errUnexpectedBytes = errors.New("what has come on the connection belongs to no request")
)

// requestWriter writes a request to a connection. Before each piece that the kernel takes at once it looks at all that
// may have changed: connecting takes time, a write may stall, and what counts is the last byte.
type requestWriter struct {
	ctx       context.Context
	upstreams *upstreams
	host      *upstreamHost
	conn      *upstreamConn
	exchange  *exchange
	deadline  func() time.Time // when what is written is too late; the zero time is never
	started   bool             // the kernel has taken something
	stopped   atomic.Bool      // no more is wanted
	unhook    func() bool      // from the end of the request, which is nothing to it after the last byte
}

// newWriter begins to heed the end of the request, which ends a write that stalls. Writers set their deadline and look at
// the request after that: an end that came before would have set another.
func newWriter(ctx context.Context, b *upstreams, h *upstreamHost, c *upstreamConn, x *exchange) *requestWriter {
	w := &requestWriter{ctx: ctx, upstreams: b, host: h, conn: c, exchange: x, deadline: func() time.Time { return x.deadline }}
	w.unhook = func() bool { return true }
	if x.request != nil {
		w.unhook = sync.OnceValue(context.AfterFunc(x.request, func() { c.SetWriteDeadline(time.Unix(1, 0)) }))
	}
	return w
}

// lastByteDeadline is when the last byte has to be written.
func (w *requestWriter) lastByteDeadline() time.Time {
	return earliest(w.deadline(), w.exchange.writeBy)
}

// earliest returns the first of two times; the zero time is never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Write writes all of p, or says why not; then p's last byte is not written: an error comes with no more than a part.
func (w *requestWriter) Write(p []byte) (n int, err error) {
	w.conn.SetWriteDeadline(w.lastByteDeadline())
	return w.write(p)
}

// patientWriter gives each piece its time, but none beyond the request's.
type patientWriter struct{ *requestWriter }

func (w patientWriter) Write(p []byte) (int, error) {
	w.conn.SetWriteDeadline(earliest(w.lastByteDeadline(), time.Now().Add(stallTimeout)))
	return w.write(p)
}

// write is Write under the deadline that is set.
func (w *requestWriter) write(p []byte) (n int, err error) {
	waited := w.conn.raw.Write(func(fd uintptr) bool {
		for n < len(p) && err == nil {
			var some int
			some, err = w.writePiece(int(fd), p[n:])
			n += some
		}
		if err == syscall.EAGAIN {
			err = nil
			return false // called again when there is space, or the deadline comes
		}
		return true
	})
	if n == len(p) {
		return n, nil
	}
	if err == nil {
		err = waited
	}
	if why := w.stopReason(); why != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = why // it set the deadline
	}
	return n, err
}

// writePiece has the kernel take what it has space for. A request's end waits for that moment, and after it none begins: so a
// request that the node has answered as never sent is not sent after all.
func (w *requestWriter) writePiece(fd int, p []byte) (int, error) {
	if w.exchange.writeLock != nil {
		w.exchange.writeLock.Lock()
		defer w.exchange.writeLock.Unlock()
	}
	if err := w.stopReason(); err != nil {
		return 0, err
	}
	if !w.started {
		// A list that comes within the write does not end it: for drains a send counts from its first byte.
		if w.upstreams.isClosed(w.host) {
			return 0, errHostClosed
		}
		// What comes after this look and before the answer can't be distinguished from the answer.
		if w.conn.reused && w.exchange.upload == nil && !isIdle(fd) {
			return 0, errUnexpectedBytes
		}
	}
	for {
		n, err := syscall.Write(fd, p)
		if err == syscall.EINTR {
			continue
		}
		w.started = w.started || n > 0
		return max(n, 0), err
	}
}

// stopReason says why no more of the request may be written, or nothing if it may.
func (w *requestWriter) stopReason() error {
	now := time.Now()
	switch limit := w.deadline(); {
	case w.exchange.request != nil && w.exchange.request.Err() != nil:
		return errRequestOver
	case w.ctx.Err() != nil:
		return w.ctx.Err()
	case w.stopped.Load():
		return errBodyUnavailable
	case !w.exchange.writeBy.IsZero() && !now.Before(w.exchange.writeBy):
		return errDedupWindowOver
	case !limit.IsZero() && !now.Before(limit):
		return os.ErrDeadlineExceeded
	}
	return nil
}

// isUntouched reports whether the connection is as it was before: nothing was written, and not for any fault of its own.
func (w *requestWriter) isUntouched(err error) bool {
	return !w.started && w.exchange.upload == nil && (errors.Is(err, errRequestOver) || errors.Is(err, errDedupWindowOver) ||
		errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()))
}

// unsentResult is the outcome of an attempt whose last byte is not written: it never ran.
func (w *requestWriter) unsentResult(err error) result {
	switch {
	case errors.Is(err, errRequestOver), errors.Is(err, errDedupWindowOver):
		return result{code: policy.NotSent, err: err}
	case w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()):
		return result{code: policy.Cancelled, err: err}
	}
	return result{code: policy.ConnectFailed, err: err}
}
