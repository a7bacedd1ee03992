package node

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"meadowsill/policy"
)

// readRequest takes in a request, or says what is wrong with it.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request, rules *requestRules, class string, client *clientConn) (*request, int, error) {
	settings, known := rules.classes[class]
	id := r.Header.Get("X-Correlation-Id")
	if !known { // an app server's answer to it would be held against the server
		return nil, http.StatusNotFound, errors.New("no such path")
	}
	method := http.MethodPost
	if settings.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("%s only", method)
	}
	// net/http drops the Content-Length of a chunked request, and the Transfer-Encoding of an HTTP/1.0 one: the
	// peer may have meant another end of the body, and what follows here as a request to be part of it.
	if !r.ProtoAtLeast(1, 1) {
		return nil, http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 only")
	}
	if r.ContentLength != 0 && method == http.MethodGet {
		return nil, http.StatusBadRequest, errors.New("GET has no body")
	}
	if id == "" {
		return nil, http.StatusBadRequest, errors.New("X-Correlation-Id is missing")
	}
	if known && settings.Idempotency == policy.IdempotentByKey && r.Header.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, errors.New("Idempotency-Key is missing")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(left) || math.Abs(left) > maxClientTimeout.Seconds() {
		return nil, http.StatusBadRequest, errors.New("X-Time-Left is not a number of seconds")
	}
	if r.ContentLength > maxLongBody {
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	var body []byte
	var rest *upload
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		paced := &pacedBody{Reader: http.MaxBytesReader(w, r.Body, maxLongBody), control: control, deadline: client.bodyDeadline()}
		var more bool
		if body, more, err = paced.readBody(r.ContentLength); err != nil {
			status, err := bodyStatus(err)
			return nil, status, err
		}
		if more {
			rest = &upload{body: paced, length: r.ContentLength, complete: make(chan struct{}), client: client}
		}
	}
	if rest == nil {
		control.SetReadDeadline(time.Time{}) // else it would end the wait for the client's going
	}
	patience := time.Duration(max(left, 0)*float64(time.Second)) - clientTimeoutMargin
	if rest != nil {
		rest.patience = patience
	}
	e := policy.RequestArrived{ID: policy.RequestID(id), Class: class, Tenant: r.Header.Get("X-Account"),
		Key: r.URL.Query().Get("obj"), IsRetry: r.Header.Get("X-Repeat") == "1", IsWrite: hasFact(r.Header.Get("X-Facts"), "write")}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64); err == nil && us >= 0 && us < maxClientTimeout.Seconds()*1e6 {
		e.WorkHint, e.HasWorkHint = time.Duration(us*float64(time.Microsecond)), true
	}
	return &request{arrived: e, class: settings, rules: rules, deadline: time.Now().Add(patience), method: r.Method, body: body, upload: rest,
		url:    &url.URL{Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		header: endToEnd(r.Header), answer: make(chan answer, 1)}, 0, nil
}

// hasFact reports whether one of the further figures of a request is set.
func hasFact(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd copies a header without what belongs to one connection or is the node's own.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length", "X-Time-Left", "X-Backend-Load", "X-Unprocessed"} {
		out.Del(name)
	}
	return out
}
