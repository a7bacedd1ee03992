package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// This file has the limits of bodies over 64 KiB, which the node relays while they arrive, and the relaying of answers with
// such bodies. upload.go has the relaying of requests.

const (
	maxLongBody       = 32 << 20 // bytes of a body, of a request or an answer
	copyBufferSize    = 16 << 10
	kernelBufferSize  = 64 << 10                // bytes of the kernel's socket buffers for a long body
	minBodyRate       = 48e3                    // bytes per second; clients send at least 64,000, and the rest is slack
	bodyConnDeadline  = 2750 * time.Millisecond // from the accept, for the first body to begin; the node ends silent peers then
	bodyStartTimeout  = 550 * time.Millisecond  // for a body to begin, at least
	reusedBodyTimeout = requestHeadTimeout      // for a body to begin on a reused connection
	maxBodyPause      = requestHeadTimeout      // for the next bytes of a body, however much of it came quickly before
	bodyGrowthFactor  = 4                       // of a body's buffer that is full
	stallTimeout      = 6 * time.Second         // for any progress on a long body
	streamDelay       = 100 * time.Millisecond  // an answer of unknown length is buffered for this long: it may be a short one
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// streamedAnswer is an answer's body that is buffered until it is complete or the node begins to relay it. Relayed bytes go
// through a pipe to the client's handler.
type streamedAnswer struct {
	onStart func(held []byte, rest *io.PipeReader)
	admit   func() bool // reports whether the node may relay another long answer; nil if it always may
	ctx     context.Context

	mu            sync.Mutex // guards the fields below
	buffered      []byte
	held          *memoryHold // for buffered
	started       bool
	pipe          *io.PipeWriter
	detachContext func() bool // cancels the closing of the pipe at the end of ctx
}

// start begins to relay the answer, unless that has begun already. It returns false if the node relays as many long answers as
// it may.
func (s *streamedAnswer) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked()
}

// startLocked is start for a caller that holds mu.
func (s *streamedAnswer) startLocked() bool {
	if s.started {
		return true
	}
	if s.admit != nil && !s.admit() {
		return false
	}
	s.started = true
	r, w := io.Pipe()
	s.pipe = w
	s.detachContext = context.AfterFunc(s.ctx, func() { r.CloseWithError(s.ctx.Err()) })
	s.onStart(s.buffered, r)
	s.buffered = nil
	return true
}

// keep buffers a part of the body, and returns false if it is too long for that or the budget has no memory for it. The caller
// holds mu.
func (s *streamedAnswer) keep(p []byte) bool {
	length := len(s.buffered) + len(p)
	if length > maxBufferedBody {
		return false
	}
	if length > cap(s.buffered) {
		capacity := max(includedPayload, min(bodyGrowthFactor*length, maxBufferedBody))
		if !s.held.grow(beyondIncluded(capacity) - beyondIncluded(cap(s.buffered))) {
			return false
		}
		s.buffered = append(make([]byte, 0, capacity), s.buffered...)
	}
	s.buffered = append(s.buffered, p...)
	return true
}

// errNoCapacity is the error of an answer that the node has neither the memory to keep nor a place to relay.
var errNoCapacity = errors.New("no capacity for a long answer")

// errClientClosed is the error of a transfer that ended for a reason on the client's side, and not the server's.
var errClientClosed = errors.New("the client receives no more")

// write buffers a part of the body or, once the relaying has begun, passes it on and blocks until the handler has read it.
func (s *streamedAnswer) write(p []byte) error {
	s.mu.Lock()
	if !s.started {
		if s.keep(p) {
			s.mu.Unlock()
			return nil
		}
		if !s.startLocked() {
			s.mu.Unlock()
			return errNoCapacity
		}
	}
	s.mu.Unlock()
	if _, err := s.pipe.Write(p); err != nil {
		return errClientClosed
	}
	return nil
}

// finish ends the body, with err if it is incomplete. It reports whether the whole body is in the buffer.
func (s *streamedAnswer) finish(err error) (complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		s.detachContext()
		s.pipe.CloseWithError(err) // io.EOF for nil
		return false
	}
	s.started = true // so that the timer does not start the relaying any more
	return err == nil
}

// readAnswer reads an answer's body. It returns a short body whole; a longer one it relays through x.onStream, and complete
// is false then.
func readAnswer(ctx context.Context, c *upstreamConn, x *exchange, resp *http.Response) (body []byte, complete bool, err error) {
	if resp.ContentLength > maxLongBody {
		return nil, false, errTooLarge
	}
	isShort := resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody
	switch {
	case resp.StatusCode != http.StatusOK:
		err = discardAnswer(resp.Body)
		return nil, err == nil, err
	case x.onStream == nil:
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxHealthAnswer+1))
		if err == nil && len(body) > maxHealthAnswer {
			err = errTooLarge
		}
		return body, err == nil, err
	case isShort && x.held.grow(beyondIncluded(int(resp.ContentLength))):
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, err == nil, err
	}
	c.answerLimit.remaining = 2 * maxLongBody // with space for the chunk framing
	c.SetReadBuffer(kernelBufferSize)
	// Once an answer is being relayed only stalls limit its time. The new deadline also applies to a read that is waiting.
	extendDeadline := func() {
		if c.SetReadDeadline(time.Now().Add(stallTimeout)); ctx.Err() != nil {
			c.SetReadDeadline(time.Unix(1, 0)) // again: the line above may have replaced the deadline that the end of ctx set
		}
	}
	streamed := &streamedAnswer{ctx: ctx, held: x.held, admit: x.admitStream, onStart: func(held []byte, rest *io.PipeReader) {
		extendDeadline()
		x.onStream(resp, held, rest)
	}}
	if resp.ContentLength < 0 {
		defer time.AfterFunc(streamDelay, func() { streamed.start() }).Stop()
	} else if !streamed.start() {
		return nil, false, errNoCapacity
	}
	buf, releaseBuffer := copyBuffer(x.held)
	defer releaseBuffer()
	for total := 0; ; {
		if streamed.hasStarted() {
			extendDeadline()
		}
		var n int
		n, err = resp.Body.Read(buf)
		if total += n; total > maxLongBody {
			err = errTooLarge
			break
		}
		if n > 0 {
			if writeErr := streamed.write(buf[:n]); writeErr != nil {
				err = writeErr
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
	complete = streamed.finish(err)
	return streamed.buffered, complete, err
}

// discardAnswer reads the body of an answer that the client does not get.
func discardAnswer(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		return errTooLarge
	}
	return err
}

// copyBuffer returns a buffer for copying a long answer, which is small if the budget has no memory for a larger one. The
// caller has to call release once it has no more use for it.
func copyBuffer(held *memoryHold) (buf []byte, release func()) {
	if !held.grow(copyBufferSize) {
		return make([]byte, smallCopyBufferLen), func() {}
	}
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	return pooled[:], func() { copyBuffers.Put(pooled) }
}

// hasStarted reports whether the answer is being relayed, or has ended.
func (s *streamedAnswer) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// relayStream relays a long answer to the client. If the answer can't be relayed in full, the client's connection is closed
// within it.
func (f *frontend) relayStream(w http.ResponseWriter, r *http.Request, a answer) {
	defer a.stream.CloseWithError(errClientClosed) // has no effect if the stream has ended
	client, _ := r.Context().Value(connKey{}).(*clientConn)
	if client != nil {
		client.SetWriteBuffer(kernelBufferSize)
	}
	control := http.NewResponseController(w)
	watch := f.watchRelay(client, control)
	defer watch.stop()
	buf, releaseBuffer := copyBuffer(a.held)
	defer releaseBuffer()
	send := func(p []byte) {
		watch.setWriting(true)
		defer watch.setWriting(false)
		if _, err := w.Write(p); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	send(a.body)
	for {
		n, err := a.stream.Read(buf)
		if n > 0 {
			send(buf[:n])
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
