package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"meadowsill/policy"
)

// request is a client's request as the frontend has read it.
type request struct {
	arrived  policy.RequestArrived // the event loop sets its Timeout
	class    policy.Class          // as in the rules that were in force when the request came
	rules    *requestRules
	deadline time.Time // by which the client has to have its answer
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	upload   *upload     // the rest of a long body, or nil; body is its beginning
	answer   chan answer // takes the final answer; has a buffer of one
	slot     *requestSlot
	// context ends when the client leaves or the request is over, whichever the node sees first. No attempt begins after that.
	// cancel ends it; the event loop calls cancel when the request gets its final answer.
	context context.Context
	cancel  context.CancelFunc

	writeLock sync.Mutex // held while the kernel takes a part of the request, and while the request is marked as answered

	// Only the event loop uses the fields below.
	answered bool
	inFlight int
	attempts []*attempt
}

// answer is a request's final answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	stream     *io.PipeReader // the rest of a long answer, or nil; body is its beginning
	length     int64          // of a long answer, in bytes; -1 if it is not known
	held       *memoryHold    // for body, and for the relaying of stream
}

type attempt struct {
	sentAt   time.Time
	cancel   context.CancelFunc
	neverRan bool // the attempt has ended, and the server has not run the request
	streamed bool // the attempt's answer is being relayed
}

// startRequest takes a request from the frontend. It rejects a request whose id is that of an open one: the module would not
// answer the second request, and its effect could happen twice. It also rejects one that must not run twice and may have run.
func (l *eventLoop) startRequest(r *request) {
	if r.context.Err() != nil { // the client left while the request was in the queue
		return
	}
	if l.requests[r.arrived.ID] != nil {
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	if current := l.rules.Load(); r.rules != current && current.classes[r.class.Name] != r.class {
		// The rules have changed since the request was read, and the module would apply the new class to it.
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	if r.class.Idempotency == policy.NonIdempotent && !l.requestIDs.claim(r.arrived.ID) {
		l.refusals.note(refusedRepeatedID, string(r.arrived.ID))
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	l.requests[r.arrived.ID] = r
	r.arrived.Timeout = time.Until(r.deadline)
	l.handle(r.arrived)
}

// abandonRequest ends a request for whose answer nobody waits any more.
func (l *eventLoop) abandonRequest(r *request) {
	if l.requests[r.arrived.ID] == r && !r.answered {
		l.closeRequest(r)
		l.handle(policy.RequestAbandoned{ID: r.arrived.ID})
	}
	select {
	case a := <-r.answer: // nobody else will take it
		a.discard()
	default:
	}
}

// discard releases what an answer holds that nobody takes.
func (a *answer) discard() {
	a.held.release()
	if a.stream != nil {
		a.stream.CloseWithError(errClientClosed)
	}
}

// finishRequest gives a request its final answer, unless it has one.
func (l *eventLoop) finishRequest(id policy.RequestID, a answer) {
	if r := l.requests[id]; r != nil && !r.answered {
		l.closeRequest(r)
		r.answer <- a
	}
}

// markAnswered ends the request's context. It waits for a write of the request that is under way, and no write begins after it.
// The final answer, which is given after this, therefore takes into account all that was sent.
func (r *request) markAnswered() {
	r.answered = true
	r.writeLock.Lock()
	defer r.writeLock.Unlock()
	r.cancel()
}

// closeRequest marks a request as answered and, if none of its attempts is in flight, forgets it.
func (l *eventLoop) closeRequest(r *request) {
	r.markAnswered()
	if r.inFlight == 0 {
		l.forget(r)
	}
}

// forget removes a request that is over. Its id may come again if the request has not run.
func (l *eventLoop) forget(r *request) {
	delete(l.requests, r.arrived.ID)
	if r.class.Idempotency == policy.NonIdempotent && !r.mayHaveRun() {
		l.requestIDs.release(r.arrived.ID)
	}
}

// mayHaveRun reports whether a server may have run the request in one of its attempts.
func (r *request) mayHaveRun() bool {
	for _, t := range r.attempts {
		if !t.neverRan {
			return true
		}
	}
	return false
}

// startAttempt begins an attempt that the module requests. The attempt ends at once as never sent if the request is over, its
// time has passed or it has had all attempts that its rules allow.
func (l *eventLoop) startAttempt(a policy.Forward) {
	r := l.requests[a.ID]
	if r == nil {
		l.handle(policy.AttemptEnded{ID: a.ID, Server: a.Server, Answered: true, Code: policy.NotSent})
		return
	}
	now := time.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	t := &attempt{sentAt: now, cancel: cancel}
	n := len(r.attempts)
	r.attempts = append(r.attempts, t)
	r.inFlight++
	if r.answered || n >= max(1, r.rules.MaxAttempts) || !now.Before(r.deadline) {
		l.endAttempt(a, n, result{code: policy.NotSent})
		return
	}
	x := &exchange{requestContext: r.context, writeLock: &r.writeLock, method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline, upload: r.upload}
	x.held = r.slot.memory().hold()
	x.admitStream = r.slot.beginStream
	x.onBodySent = func() { l.post(func() { l.bodyStarted(r, a.ID, n) }) }
	x.onStream = func(resp *http.Response, held []byte, rest *io.PipeReader) {
		l.post(func() {
			l.streamAnswer(a, n, answer{status: resp.StatusCode, header: resp.Header, body: held, stream: rest, length: resp.ContentLength, held: x.held})
		})
	}
	if a.Timeout != 0 && now.Add(a.Timeout).Before(r.deadline) {
		x.deadline = now.Add(a.Timeout)
	}
	for _, earlier := range r.attempts[:n] {
		if r.class.Idempotency == policy.IdempotentByKey && !earlier.neverRan {
			x.writeBy = idempotencyDeadline(earlier.sentAt, r.class.DedupWindow)
			break
		}
	}
	h := l.upstreams.host(a.Server)
	l.running.Go(func() {
		defer cancel()
		res := l.upstreams.roundTrip(ctx, h, x)
		res.held = x.held
		if !l.post(func() { l.endAttempt(a, n, res) }) {
			x.held.release()
		}
	})
}

// bodyStarted notifies the module that the rest of a long body is being forwarded. No other attempt follows, so that the body's
// beginning is not needed any more.
func (l *eventLoop) bodyStarted(r *request, id policy.RequestID, attempt int) {
	r.body = nil
	l.handle(policy.BodyStarted{ID: id, Attempt: attempt})
}

// idempotencyDeadline returns the time by which the last byte of a further attempt has to be written. It lies a margin before
// the end of the deduplication window, in which the bytes reach the server. The window counts from the sending of the first
// attempt that may have run. sent is when the event loop started that attempt, which is no later than its sending.
func idempotencyDeadline(sent time.Time, window time.Duration) time.Time {
	return sent.Add(window - min(dedupWindowMargin, window/2))
}

// streamAnswer gives a request a long answer, which is still being read, as its final answer.
func (l *eventLoop) streamAnswer(a policy.Forward, n int, streamed answer) {
	r := l.requests[a.ID]
	if r == nil || r.answered {
		streamed.discard()
		return
	}
	r.markAnswered()
	r.attempts[n].streamed = true
	r.answer <- streamed
	l.handle(policy.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: time.Since(r.attempts[n].sentAt)})
}

// endAttempt notifies the module of an attempt's end. The first successful answer goes to the client.
func (l *eventLoop) endAttempt(a policy.Forward, n int, res result) {
	r := l.requests[a.ID]
	t := r.attempts[n]
	t.cancel()
	t.neverRan = res.code == policy.Rejected || res.code == policy.ConnectFailed || res.code == policy.NotSent
	r.inFlight--
	if res.code == policy.OK && !r.answered {
		r.markAnswered()
		r.answer <- answer{status: http.StatusOK, header: res.header, body: res.body, held: res.held}
	} else if !t.streamed {
		res.held.release()
	}
	if uploadErr := (uploadError{}); errors.As(res.err, &uploadErr) && !r.answered {
		r.markAnswered()
		r.answer <- answer{status: bodyError(uploadErr.error).status}
		l.handle(policy.RequestAbandoned{ID: a.ID})
	}
	if errors.Is(res.err, errNoCapacity) { // the server has answered: it is not silent, and a retry would find no place either
		l.refusals.note(endedNoPlaceForAnswer, string(a.ID))
		l.handle(policy.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: time.Since(t.sentAt)})
	}
	if errors.Is(res.err, errRequestOver) {
		r.answered = true // no further attempt: the client has left, and the event for that is on its way
	}
	if res.err != nil {
		l.log.Debug("attempt", "id", a.ID, "server", a.Server, "code", res.code, "err", res.err)
	}
	if r.answered && r.inFlight == 0 {
		l.forget(r)
	}
	l.handle(policy.AttemptEnded{
		ID:       a.ID,
		Attempt:  n,
		Server:   a.Server,
		Answered: r.answered,
		Elapsed:  time.Since(t.sentAt),
		Code:     res.code,
		Report:   res.report,
	})
}

// checkHealth makes a health check of a server, whose result the module gets as an event.
func (l *eventLoop) checkHealth(id policy.ServerID) {
	h := l.upstreams.host(id)
	path := "/stats"
	if l.rules.Load().LoadReportSource == policy.LoadReportsNone {
		path = "/health/live"
	}
	began := time.Now()
	l.running.Go(func() {
		res := l.upstreams.checkHealth(l.ctx, h, path)
		l.post(func() {
			l.handle(policy.HealthCheckEnded{Server: id, Code: res.code, Elapsed: time.Since(began), Report: res.report})
		})
	})
}
