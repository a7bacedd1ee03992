package node

import (
	"context"
	"net/http"
	"time"
)

// answerWait is a request that waits for its final answer: at first for the event loop to take it, then for the loop's
// answer, and all along for its client to go, for its time to end and for the node to end. It is of one goroutine, the
// handler's.
type answerWait struct {
	frontend *frontend
	writer   http.ResponseWriter
	received *http.Request
	request  *request
	client   *clientConn

	start       func()          // has the event loop start the request
	events      chan<- func()   // the event loop's; nil once the loop has the request
	uploaded    <-chan struct{} // closed when the body has come in full, from when on the client's time counts; else nil
	drainClosed <-chan struct{} // only while the body comes
	checkClient <-chan time.Time
	clientGone  <-chan struct{}
	overdue     *time.Timer
}

// awaitAnswer gives a request to the event loop, and its client the final answer.
func (f *frontend) awaitAnswer(w http.ResponseWriter, r *http.Request, req *request, client *clientConn) {
	wait := &answerWait{frontend: f, writer: w, received: r, request: req, client: client, events: f.loop.events}
	wait.start = func() { f.loop.startRequest(req) }
	lifetime := r.Context()
	if req.upload != nil {
		lifetime = context.WithoutCancel(lifetime) // a body that is no longer read ends the context too
	}
	req.context, req.cancel = context.WithCancel(lifetime)
	defer req.cancel()
	wait.overdue = time.NewTimer(max(0, time.Until(req.deadline)) + overdueDelay)
	defer wait.overdue.Stop()
	if req.upload == nil {
		wait.clientGone = r.Context().Done()
	} else { // clientGone stays nil: a body that is no longer read ends the context too
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

// next handles what comes next, and reports whether the request is over.
func (a *answerWait) next() (over bool) {
	f := a.frontend
	select {
	case a.events <- a.start: // it may be full for long: the client may go before, or its time end
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
		return a.timeEnded()
	case <-f.answersOver:
		a.leave()
		a.finish(answer{status: a.unansweredStatus()})
		return true
	case <-f.loop.ctx.Done():
		a.writer.Header().Set("Connection", "close")
		a.finish(answer{status: a.unansweredStatus()})
		return true
	}
	return false
}

// finish gives the client the final answer.
func (a *answerWait) finish(final answer) {
	a.frontend.finishRequest(a.writer, a.received, a.request, final)
}

// leave ends the request: nothing is begun from here on, however late the loop is notified of it.
func (a *answerWait) leave() {
	a.request.cancel()
	if a.events == nil {
		a.frontend.loop.post(func() { a.frontend.loop.abandonRequest(a.request) })
	}
}

// abort ends the request without an answer, as its client has gone. Without the panic net/http would answer 200 to a
// client that reads on.
func (a *answerWait) abort() {
	a.leave()
	panic(http.ErrAbortHandler)
}

// unansweredStatus is the status for a request that the node's own end answers.
func (a *answerWait) unansweredStatus() int {
	if a.events != nil { // never sent on
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// bodyCompleted has the client's time count from now, and its going be seen by the request's context.
func (a *answerWait) bodyCompleted() {
	a.uploaded = nil
	a.drainClosed = nil
	a.checkClient = nil
	a.clientGone = a.received.Context().Done()
	a.overdue.Reset(a.request.upload.patience + overdueDelay)
}

// stopUpload rejects the request at the drain's end if its body's rest has not been forwarded yet.
func (a *answerWait) stopUpload() (over bool) {
	a.drainClosed = nil
	if !a.request.upload.stopEarly() {
		return false
	}
	a.leave()
	a.finish(answer{status: http.StatusServiceUnavailable})
	return true
}

// contextEnded ends the request if it was the client that ended the context, and not the end of the body's reading.
func (a *answerWait) contextEnded() {
	if a.request.upload != nil && a.request.upload.body.stopped.Load() {
		a.clientGone = nil
		return
	}
	a.abort()
}

// timeEnded answers a request whose client waits no longer. While a body is being forwarded its time does not count.
func (a *answerWait) timeEnded() (over bool) {
	if a.uploaded != nil && a.request.upload.isTaken() {
		return false
	}
	a.leave()
	a.frontend.log.Warn("request overdue", "id", a.request.arrived.ID)
	a.finish(answer{status: http.StatusGatewayTimeout})
	return true
}
