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

// request is a client's request as the front end has read it.
type request struct {
	arrived  policy.RequestArrived // but for Timeout
	class    policy.Class          // as the rules had it when the request came
	rules    *requestRules
	deadline time.Time // the client has its answer by then
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	upload   *upload     // what follows on a long body's beginning, or nil
	answer   chan answer // holds one: the final answer
	// context ends as the client goes or the request is over, whichever the node sees first: from then on no attempt is
	// begun. cancel is what ends it; the loop calls it as the request gets its final answer.
	context context.Context
	cancel  context.CancelFunc

	writeLock sync.Mutex // held while the kernel takes a piece of it, and as it becomes over

	// The rest belongs to the loop.
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
	stream     *io.PipeReader // what follows on a long answer's beginning, or nil
	length     int64          // of a long answer; -1 if it is not known
}

type attempt struct {
	sentAt   time.Time
	cancel   context.CancelFunc
	neverRan bool // and has ended
}

// startRequest takes a request from the front end. An id that is still open is not taken twice: the module would not
// answer it, and its effect could happen twice.
func (l *eventLoop) startRequest(r *request) {
	if r.context.Err() != nil { // its client left while it stood in the queue
		return
	}
	if l.requests[r.arrived.ID] != nil {
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	if now := l.rules.Load(); r.rules != now && now.classes[r.class.Name] != r.class {
		// It was read under rules that have just changed; the module would take it for one of the new class.
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	l.requests[r.arrived.ID] = r
	r.arrived.Timeout = time.Until(r.deadline)
	l.handle(r.arrived)
}

// abandonRequest ends a request whose client has gone.
func (l *eventLoop) abandonRequest(r *request) {
	if l.requests[r.arrived.ID] == r && !r.answered {
		l.closeRequest(r)
		l.handle(policy.RequestAbandoned{ID: r.arrived.ID})
	}
	select {
	case a := <-r.answer: // which nobody takes any more
		if a.stream != nil {
			a.stream.CloseWithError(errClientClosed)
		}
	default:
	}
}

func (l *eventLoop) finishRequest(id policy.RequestID, a answer) {
	if r := l.requests[id]; r != nil && !r.answered {
		l.closeRequest(r)
		r.answer <- a
	}
}

// markAnswered makes a request over. No piece of it is being written just then and none is begun after, so its final answer,
// which comes after this, holds of all that was sent.
func (r *request) markAnswered() {
	r.answered = true
	r.writeLock.Lock()
	defer r.writeLock.Unlock()
	r.cancel()
}

// closeRequest ends a request and forgets it once its attempts are in.
func (l *eventLoop) closeRequest(r *request) {
	r.markAnswered()
	if r.inFlight == 0 {
		delete(l.requests, r.arrived.ID)
	}
}

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
	x := &exchange{request: r.context, writeLock: &r.writeLock, method: r.method, url: r.url, header: r.header, body: r.body, deadline: r.deadline, upload: r.upload}
	x.onBodySent = func() { l.post(func() { l.handle(policy.BodyStarted{ID: a.ID, Attempt: n}) }) }
	x.onStream = func(resp *http.Response, held []byte, rest *io.PipeReader) {
		l.post(func() {
			l.streamAnswer(a, n, answer{status: resp.StatusCode, header: resp.Header, body: held, stream: rest, length: resp.ContentLength})
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
	h := l.backends.host(a.Server)
	l.running.Go(func() {
		defer cancel()
		res := l.backends.roundTrip(ctx, h, x)
		l.post(func() { l.endAttempt(a, n, res) })
	})
}

// idempotencyDeadline is when the last byte of a further attempt has to be written, with what is kept for it to arrive. The window
// counts from the sending of the first attempt that may have run. sent is when the loop took that up, and so not later.
func idempotencyDeadline(sent time.Time, window time.Duration) time.Time {
	return sent.Add(window - min(dedupWindowMargin, window/2))
}

// streamAnswer passes a long answer on to the client: it is the final one.
func (l *eventLoop) streamAnswer(a policy.Forward, n int, long answer) {
	r := l.requests[a.ID]
	if r == nil || r.answered {
		long.stream.CloseWithError(errClientClosed)
		return
	}
	r.markAnswered()
	r.answer <- long
	l.handle(policy.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: time.Since(r.attempts[n].sentAt)})
}

// endAttempt notifies the module of an attempt's end; the first answer goes to the client.
func (l *eventLoop) endAttempt(a policy.Forward, n int, res result) {
	r := l.requests[a.ID]
	t := r.attempts[n]
	t.cancel()
	t.neverRan = res.code == policy.Rejected || res.code == policy.ConnectFailed || res.code == policy.NotSent
	r.inFlight--
	if res.code == policy.OK && !r.answered {
		r.markAnswered()
		r.answer <- answer{status: http.StatusOK, header: res.header, body: res.body}
	}
	if client := (uploadError{}); errors.As(res.err, &client) && !r.answered {
		r.markAnswered()
		r.answer <- answer{status: bodyError(client.error).status}
		l.handle(policy.RequestAbandoned{ID: a.ID})
	}
	if errors.Is(res.err, errRequestOver) {
		r.answered = true // its client went, and the event for that is on its way: no further attempt
	}
	if res.err != nil {
		l.log.Debug("attempt", "id", a.ID, "server", a.Server, "code", res.code, "err", res.err)
	}
	if r.answered && r.inFlight == 0 {
		delete(l.requests, a.ID)
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

func (l *eventLoop) checkHealth(id policy.ServerID) {
	h := l.backends.host(id)
	path := "/stats"
	if l.rules.Load().LoadReportSource == policy.LoadReportsNone {
		path = "/health/live"
	}
	began := time.Now()
	l.running.Go(func() {
		res := l.backends.checkHealth(l.ctx, h, path)
		l.post(func() {
			l.handle(policy.HealthCheckEnded{Server: id, Code: res.code, Elapsed: time.Since(began), Report: res.report})
		})
	})
}
