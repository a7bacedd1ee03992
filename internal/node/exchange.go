package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"meadowsill/internal/wire"
	"meadowsill/policy"
)

// exchange is one request to an app server, and its answer.
type exchange struct {
	requestContext context.Context // the context of the client's request, after whose end nothing is written; nil if there is none
	writeLock      *sync.Mutex     // held during each write, and while the final answer ends the context above; may be nil
	method         string
	url            *url.URL
	header         http.Header
	body           []byte
	deadline       time.Time // until which the node waits for the answer
	writeBy        time.Time // after which nothing is written, unless it is zero

	upload     *upload                                                     // the rest of a long body after body, or nil
	onBodySent func()                                                      // called before the first byte of upload is read and sent
	onStream   func(resp *http.Response, held []byte, rest *io.PipeReader) // receives a long answer; if nil, only the beginning of an answer is read

	admitStream func() bool // reports whether the node may relay another long answer; nil if it always may
	held        *memoryHold // for the answer
}

// result is the outcome of an exchange.
type result struct {
	code   policy.OutcomeCode
	report *policy.LoadReport
	header http.Header
	body   []byte
	held   *memoryHold // for body; nil if it holds nothing
	err    error
}

// roundTrip makes an exchange and blocks until it is over. The end of ctx cancels it.
func (u *upstreams) roundTrip(ctx context.Context, h *upstreamHost, x *exchange) result {
	if h == nil {
		return result{code: policy.ConnectFailed, err: errHostClosed}
	}
	dialCtx := ctx
	if x.requestContext != nil { // if the request ends during the dial nothing has been written, so the attempt ends without a cancel
		var cancelDial context.CancelFunc
		dialCtx, cancelDial = context.WithCancel(ctx)
		defer cancelDial()
		defer context.AfterFunc(x.requestContext, cancelDial)()
	}
	for {
		began := time.Now()
		c, err := u.connect(dialCtx, h, x.deadline)
		switch {
		case err == nil:
		case x.requestContext != nil && x.requestContext.Err() != nil:
			return result{code: policy.NotSent, err: errRequestOver}
		case ctx.Err() != nil:
			return result{code: policy.Cancelled, err: ctx.Err()}
		default:
			return result{code: policy.ConnectFailed, err: err}
		}
		r := u.exchangeOn(ctx, h, c, x)
		if errors.Is(r.err, errUnexpectedBytes) { // that connection is closed now; the next try takes another one
			continue
		}
		if r.code == policy.TimedOut {
			u.closeIfSilent(h, began)
		}
		return r
	}
}

// exchangeOn makes an exchange on a connection, and releases the connection.
func (u *upstreams) exchangeOn(ctx context.Context, h *upstreamHost, c *upstreamConn, x *exchange) result {
	c.SetDeadline(x.deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	w := newWriter(ctx, u, h, c, x)
	r, keep := writeAndRead(ctx, w)
	// A callback that has begun may set its deadline at any time, even when the connection carries the next request.
	stopped := w.detachRequest()
	stopped = stop() && stopped
	switch {
	case r.err == nil:
		u.mu.Lock()
		h.lastAnswerAt = time.Now()
		u.mu.Unlock()
	case w.isConnUntouched(r.err):
		keep = true
	case r.code == policy.ConnectFailed || r.code == policy.NotSent:
	case ctx.Err() != nil:
		r.code = policy.Cancelled
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		r.code = policy.TimedOut
	}
	u.release(h, c, keep && stopped)
	return r
}

// writeAndRead writes a request and reads its answer. keep is true if the connection can carry another request.
func writeAndRead(ctx context.Context, w *requestWriter) (r result, keep bool) {
	x := w.exchange
	timeLeft := max(0, time.Until(x.deadline))
	header := x.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header["X-Time-Left"] = []string{strconv.FormatFloat(timeLeft.Seconds(), 'f', 3, 64)}
	req := &http.Request{Method: x.method, URL: x.url, Host: x.url.Host, Header: header, ProtoMajor: 1, ProtoMinor: 1}
	if len(x.body) > 0 || x.method == http.MethodPost {
		req.ContentLength, req.Body = int64(len(x.body)), io.NopCloser(bytes.NewReader(x.body))
		if len(x.body) == 0 {
			req.Body = http.NoBody
		}
	}
	if x.upload != nil {
		return uploadAndRead(ctx, w, req)
	}
	var buf bytes.Buffer
	buf.Grow(1<<10 + len(x.body))
	if err := req.Write(&buf); err != nil {
		return result{code: policy.ConnectFailed, err: err}, false
	}
	if _, err := w.Write(buf.Bytes()); err != nil {
		return w.unsentResult(err), false
	}
	w.detachRequest()
	return readResult(ctx, w.conn, x, req)
}

// readResult reads the answer to a request. keep is true if the connection can carry another request.
func readResult(ctx context.Context, c *upstreamConn, x *exchange, req *http.Request) (r result, keep bool) {
	c.answerLimit.remaining = maxBufferedAnswer // http.ReadResponse has no limit on the header's size or the number of interim answers
	resp, err := http.ReadResponse(c.reader, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(c.reader, req)
	}
	if err != nil {
		return result{code: policy.Reset, err: err}, false
	}
	defer resp.Body.Close()
	body, complete, err := readAnswer(ctx, c, x, resp)
	if err != nil {
		code := policy.Reset
		if errors.Is(err, errClientClosed) || errors.Is(err, errNoCapacity) {
			code = policy.Cancelled
		}
		return result{code: code, err: err}, false
	}
	if !complete { // readAnswer has relayed the body to the client
		return result{code: policy.OK, report: parseReport(resp.Header.Get("X-Backend-Load"))}, !resp.Close
	}
	// An answer whose status allows no body ends with its head, whatever length it states. If the server sends a body all the
	// same, it would be read as the beginning of the next answer.
	headOnly := resp.StatusCode < 200 || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	r = result{code: policy.ServerError, report: parseReport(resp.Header.Get("X-Backend-Load")), header: resp.Header, body: body}
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		r.code = policy.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && resp.Header.Get("X-Unprocessed") == "1":
		r.code = policy.Rejected
	}
	return r, !resp.Close && !headOnly
}

// parseReport parses a load report. It returns nil if the text has no known field with a finite number.
func parseReport(text string) *policy.LoadReport {
	var r policy.LoadReport
	known := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) {
			known = wire.SetLoadReportValue(&r, name, v) || known
		}
	}
	if !known {
		return nil
	}
	return &r
}

// checkHealth makes a health check of an app server. A load report may come in the answer's header or its body.
func (u *upstreams) checkHealth(ctx context.Context, h *upstreamHost, path string) result {
	r := u.roundTrip(ctx, h, &exchange{method: http.MethodGet, url: &url.URL{Path: path, Host: "api.internal"}, deadline: time.Now().Add(healthCheckTimeout)})
	if r.report == nil && r.code == policy.OK {
		r.report = parseReport(string(r.body))
	}
	return r
}
