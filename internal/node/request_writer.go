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

// This file has the writing of a request to an app server. Until the kernel has taken the last byte the attempt has not run,
// and the node may give it up even where it may not cancel attempts. After that the attempt may have run.

var (
	errRequestOver     = errors.New("the request is over")
	errDedupWindowOver = errors.New("the deduplication window is over")
	errUnexpectedBytes = errors.New("the connection has bytes that belong to no request")
)

// requestWriter writes a request to a connection. Before each write system call it checks again whether the request may still
// be sent: connecting takes time, a write may stall, and the time at which the last byte is written decides.
type requestWriter struct {
	ctx           context.Context
	upstreams     *upstreams
	host          *upstreamHost
	conn          *upstreamConn
	exchange      *exchange
	deadline      func() time.Time // returns when it is too late to write, or the zero time for no limit
	started       bool             // the kernel has taken at least one byte
	stopped       atomic.Bool      // an early answer has ended the writing
	detachRequest func() bool      // ends the effect of the request's end on the connection; called after the last byte
}

// newWriter returns a writer, and has the end of the request interrupt a stalled write by a write deadline in the past.
// Writers set their own deadline and check the request after that, as they may have replaced the deadline of an earlier end.
func newWriter(ctx context.Context, u *upstreams, h *upstreamHost, c *upstreamConn, x *exchange) *requestWriter {
	w := &requestWriter{ctx: ctx, upstreams: u, host: h, conn: c, exchange: x, deadline: func() time.Time { return x.deadline }}
	w.detachRequest = func() bool { return true }
	if x.requestContext != nil {
		w.detachRequest = sync.OnceValue(context.AfterFunc(x.requestContext, func() { c.SetWriteDeadline(time.Unix(1, 0)) }))
	}
	return w
}

// lastByteDeadline returns the time by which the last byte has to be written, or the zero time for no limit.
func (w *requestWriter) lastByteDeadline() time.Time {
	return earliest(w.deadline(), w.exchange.writeBy)
}

// earliest returns the earlier of two times, where the zero time stands for no limit.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Write writes all of p. If it returns an error, the last byte of p has not been written.
func (w *requestWriter) Write(p []byte) (n int, err error) {
	return w.write(p, w.lastByteDeadline)
}

// stallLimitedWriter is a requestWriter that allows stallTimeout for each call of Write, within the limits of the request.
type stallLimitedWriter struct{ *requestWriter }

// Write is requestWriter.Write for at most stallTimeout.
func (w stallLimitedWriter) Write(p []byte) (int, error) {
	stallEnd := time.Now().Add(stallTimeout)
	return w.write(p, func() time.Time {
		return earliest(w.lastByteDeadline(), stallEnd)
	})
}

// write is Write until the time that deadline returns, which is asked for again before each wait for space in the socket.
func (w *requestWriter) write(p []byte, deadline func() time.Time) (n int, err error) {
	w.conn.SetWriteDeadline(deadline())
	waitErr := w.conn.raw.Write(func(fd uintptr) bool {
		for n < len(p) && err == nil {
			var written int
			written, err = w.writePiece(int(fd), p[n:])
			n += written
		}
		if err != syscall.EAGAIN {
			return true
		}
		if w.exchange.upload != nil {
			w.exchange.upload.stalled()
		}
		w.conn.SetWriteDeadline(deadline())
		err = w.stopReason() // again: the line above may have replaced the deadline that the end of the request set
		return err != nil    // after false, raw.Write calls the function again when the socket has space, or returns at the deadline
	})
	if n == len(p) {
		return n, nil
	}
	if err == nil {
		err = waitErr
	}
	if reason := w.stopReason(); reason != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		err = reason // the actual reason, for which the write deadline was set
	}
	return n, err
}

// writePiece writes as much of p as the socket has space for. markAnswered waits for a writePiece that is under way, and none
// writes after it. So a request that the node has answered as never sent is not sent afterwards.
func (w *requestWriter) writePiece(fd int, p []byte) (int, error) {
	if w.exchange.writeLock != nil {
		w.exchange.writeLock.Lock()
		defer w.exchange.writeLock.Unlock()
	}
	if err := w.stopReason(); err != nil {
		return 0, err
	}
	if !w.started {
		// Only checked before the first byte, which is the time of sending that counts when a server drains: an endpoint list
		// that comes during the write does not end it.
		if w.upstreams.isClosed(w.host) {
			return 0, errHostClosed
		}
		// Bytes that come after this check and before the answer can't be distinguished from the answer.
		if w.conn.reused && w.exchange.upload == nil && !isIdle(fd) {
			return 0, errUnexpectedBytes
		}
	}
	for {
		n, err := syscall.Write(fd, p)
		if err == syscall.EINTR {
			continue
		}
		if n > 0 {
			w.started = true
			if w.exchange.upload != nil {
				w.exchange.upload.clock.serverTook()
			}
		}
		return max(n, 0), err
	}
}

// stopReason returns the error for which no more of the request may be written, or nil.
func (w *requestWriter) stopReason() error {
	now := time.Now()
	switch limit := w.deadline(); {
	case w.exchange.requestContext != nil && w.exchange.requestContext.Err() != nil:
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

// isConnUntouched reports whether the connection is in the state in which it was before: nothing was written, and the reason was
// not a fault of the connection.
func (w *requestWriter) isConnUntouched(err error) bool {
	return !w.started && w.exchange.upload == nil && (errors.Is(err, errRequestOver) || errors.Is(err, errDedupWindowOver) ||
		errors.Is(err, os.ErrDeadlineExceeded) || w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()))
}

// unsentResult returns the outcome of an attempt whose last byte has not been written, so that it never ran.
func (w *requestWriter) unsentResult(err error) result {
	switch {
	case errors.Is(err, errRequestOver), errors.Is(err, errDedupWindowOver):
		return result{code: policy.NotSent, err: err}
	case w.ctx.Err() != nil && errors.Is(err, w.ctx.Err()):
		return result{code: policy.Cancelled, err: err}
	}
	return result{code: policy.ConnectFailed, err: err}
}
