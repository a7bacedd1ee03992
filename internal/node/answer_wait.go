package node

import (
	"context"
	"net/http"
	"time"
)

// answerWait is the state of a request's handler while it waits for the final answer. It waits for the event loop to take the
// request and then for the loop's answer, and at the same time for the client's end, the request's deadline and the node's
// end. Only the handler's goroutine uses it.
type answerWait struct {
	frontend    *frontend
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     *request
	client      *clientConn

	start       func()          // has the event loop start the request
	events      chan<- func()   // the event loop's queue; nil once start is in it
	uploaded    <-chan struct{} // closed when a long body has come in full; nil unless one is still being read
	drainClosed <-chan struct{} // the frontend's; nil unless a long body is still being read
	checkClient <-chan time.Time
	clientGone  <-chan struct{}
	overdue     *time.Timer
}

// awaitAnswer passes a request to the event loop, and sends the final answer to the client.
func (f *frontend) awaitAnswer(w http.ResponseWriter, r *http.Request, req *request, client *clientConn) {
	wait := &answerWait{frontend: f, writer: w, httpRequest: r, request: req, client: client, events: f.loop.events}
	wait.start = func() { f.loop.startRequest(req) }
	parent := r.Context()
	if req.upload != nil {
		parent = context.WithoutCancel(parent) // net/http ends its context also when the reading of the body is interrupted
	}
	req.context, req.cancel = context.WithCancel(parent)
	defer req.cancel()
	wait.overdue = time.NewTimer(max(0, time.Until(req.deadline)) + overdueDelay)
	defer wait.overdue.Stop()
	if req.upload == nil {
		wait.clientGone = r.Context().Done()
	} else { // clientGone stays nil: net/http ends the context also when the reading of the body is interrupted
		defer req.upload.close()
		wait.uploaded = req.upload.complete
		wait.drainClosed = f.drainClosed
		ticker := time.NewTicker(clientCheckInterval)
		defer ticker.Stop()
		wait.checkClient = ticker.C
	}
	for !wait.next() {
	}
}

// next waits for one event and handles it. It reports whether the request is over.
func (a *answerWait) next() (over bool) {
	f := a.frontend
	select {
	case a.events <- a.start: // the queue may be full for long, so that the client's end or the deadline comes first
		a.events = nil
	case final := <-a.request.answer:
		a.finish(final)
		return true
	case <-a.uploaded:
		a.bodyCompleted()
	case <-a.drainClosed:
		return a.stopUpload()
	case <-a.checkClient:
		if a.client.clientLeft() {
			a.abort()
		}
	case <-a.clientGone:
		a.contextEnded()
	case <-a.overdue.C:
		return a.deadlinePassed()
	case <-f.answerWaitOver:
		a.abandon()
		a.finish(answer{status: a.unansweredStatus()})
		return true
	case <-f.loop.ctx.Done():
		a.writer.Header().Set("Connection", "close")
		a.finish(answer{status: a.unansweredStatus()})
		return true
	}
	return false
}

// finish sends the final answer to the client.
func (a *answerWait) finish(final answer) {
	a.frontend.finishRequest(a.writer, a.httpRequest, a.request, final)
}

// abandon ends the request without waiting for its answer. No attempt begins after it, however late the event loop handles the
// event for it.
func (a *answerWait) abandon() {
	a.request.cancel()
	if a.events == nil {
		a.frontend.loop.post(func() { a.frontend.loop.abandonRequest(a.request) })
	}
}

// abort ends the request without an answer, as its client has left. Without the panic net/http would send status 200 to a
// client that has only closed its sending side and still reads.
func (a *answerWait) abort() {
	a.abandon()
	a.frontend.refusals.note(endedClientLeft, string(a.request.arrived.ID))
	panic(http.ErrAbortHandler)
}

// unansweredStatus returns the status for a request that has no answer when the node ends.
func (a *answerWait) unansweredStatus() int {
	if a.events != nil { // the event loop does not have the request, so it was never forwarded
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// bodyCompleted starts the client's timeout when a long body has come in full. From then on the end of net/http's context
// shows the client's end.
func (a *answerWait) bodyCompleted() {
	a.uploaded = nil
	a.drainClosed = nil
	a.checkClient = nil
	a.clientGone = a.httpRequest.Context().Done()
	a.overdue.Reset(a.request.upload.clock.untilDeadline() + overdueDelay)
}

// stopUpload rejects the request when the drain takes no more requests, unless its body has come in full.
func (a *answerWait) stopUpload() (over bool) {
	a.drainClosed = nil
	if !a.request.upload.stopEarly() {
		return false
	}
	a.abandon()
	a.finish(answer{status: http.StatusServiceUnavailable})
	return true
}

// contextEnded aborts the request if net/http's context has ended because of the client's end. The context also ends when the
// node itself interrupts the reading of the body.
func (a *answerWait) contextEnded() {
	if a.request.upload != nil && a.request.upload.body.stopped.Load() {
		a.clientGone = nil
		return
	}
	a.abort()
}

// deadlinePassed answers a request whose client waits no longer. The deadline of a long body moves while the body is forwarded.
func (a *answerWait) deadlinePassed() (over bool) {
	if a.request.upload != nil {
		if remaining := a.request.upload.clock.untilDeadline(); remaining > 0 {
			a.overdue.Reset(remaining + overdueDelay)
			return false
		}
	}
	a.abandon()
	a.frontend.refusals.note(endedOverdue, string(a.request.arrived.ID))
	a.finish(answer{status: http.StatusGatewayTimeout})
	return true
}
