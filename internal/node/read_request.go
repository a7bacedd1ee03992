package node

import (
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"meadowsill/policy"
)

// requestError is the reason for which a request is rejected before it reaches the event loop.
type requestError struct {
	status int
	reason string
}

// Error returns the reason, which becomes the body of the answer.
func (e *requestError) Error() string { return e.reason }

// statusOf returns the HTTP status of the answer to a request that readRequest has rejected.
func statusOf(err error) int {
	if rejected := (*requestError)(nil); errors.As(err, &rejected) {
		return rejected.status
	}
	return http.StatusBadRequest
}

// readRequest checks a request's head and reads its body, or the beginning of a long one. Its error is a *requestError.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request, rules *requestRules, className string, client *clientConn, held *memoryHold) (*request, error) {
	class, known := rules.classes[className]
	if !known { // an app server's answer to such a request would count as the server's fault
		return nil, &requestError{http.StatusNotFound, "no such path"}
	}
	if err := checkHead(r, class); err != nil {
		return nil, err
	}
	timeLeft, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(timeLeft) || math.Abs(timeLeft) > maxClientTimeout.Seconds() {
		return nil, &requestError{http.StatusBadRequest, "X-Time-Left is not a number of seconds"}
	}
	if r.ContentLength > maxLongBody {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	body, rest, err := f.readBodyStart(w, r, client, held)
	if err != nil {
		return nil, err
	}
	clientTimeout := time.Duration(max(timeLeft, 0)*float64(time.Second)) - clientTimeoutMargin
	if rest != nil {
		rest.clock = newAnswerClock(clientTimeout)
	}
	return &request{
		arrived:  arrivedEvent(r, className),
		class:    class,
		rules:    rules,
		deadline: time.Now().Add(clientTimeout),
		method:   r.Method,
		body:     body,
		upload:   rest,
		url: &url.URL{
			Host:       r.Host,
			Path:       r.URL.Path,
			RawPath:    r.URL.RawPath,
			RawQuery:   r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery,
		},
		header: endToEnd(r.Header),
		answer: make(chan answer, 1),
	}, nil
}

// checkHead returns an error if a request's method, HTTP version or headers are not as its class requires.
func checkHead(r *http.Request, class policy.Class) error {
	method := http.MethodPost
	if class.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return &requestError{http.StatusMethodNotAllowed, method + " only"}
	// net/http drops the Content-Length of a chunked request, and the Transfer-Encoding of an HTTP/1.0 one. The peer may
	// have meant the body to end elsewhere, and bytes that look like the next request here to be part of that body.
	case !r.ProtoAtLeast(1, 1):
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"}
	case r.ContentLength != 0 && method == http.MethodGet:
		return &requestError{http.StatusBadRequest, "GET has no body"}
	case r.Header.Get("X-Correlation-Id") == "":
		return &requestError{http.StatusBadRequest, "X-Correlation-Id is missing"}
	case class.Idempotency == policy.IdempotentByKey && r.Header.Get("Idempotency-Key") == "":
		return &requestError{http.StatusBadRequest, "Idempotency-Key is missing"}
	}
	return nil
}

// readBodyStart reads a request's body, or the first part of a long one. rest is nil if body is the complete body.
func (f *frontend) readBodyStart(w http.ResponseWriter, r *http.Request, client *clientConn, held *memoryHold) (body []byte, rest *upload, err error) {
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		paced := &pacedBody{
			Reader:    http.MaxBytesReader(w, r.Body, maxLongBody),
			control:   control,
			allowance: time.Until(client.bodyDeadline()),
		}
		f.bodyReads.add(client, paced)
		grow := func(bytes int64) bool { return f.growForBody(held, bytes) }
		isLong := r.ContentLength > maxBufferedBody
		if isLong && !grow(uploadBytes) {
			return nil, nil, errNoMemory
		}
		var more bool
		if body, more, err = paced.readBody(r.ContentLength, grow); err != nil {
			return nil, nil, bodyError(err)
		}
		if more && !isLong && !grow(uploadBytes) { // its length was not known before
			return nil, nil, errNoMemory
		}
		if more {
			rest = &upload{body: paced, length: r.ContentLength, received: int64(len(body)), complete: make(chan struct{}), client: client,
				held: held, startBytes: beyondIncluded(cap(body))}
			return body, rest, nil
		}
	}
	control.SetReadDeadline(time.Time{}) // the body's deadline would end the read that detects the client's end
	return body, nil, nil
}

// arrivedEvent returns the event that notifies the module of a request. The event loop sets its Timeout.
func arrivedEvent(r *http.Request, class string) policy.RequestArrived {
	e := policy.RequestArrived{
		ID:      policy.RequestID(r.Header.Get("X-Correlation-Id")),
		Class:   class,
		Tenant:  r.Header.Get("X-Account"),
		Key:     r.URL.Query().Get("obj"),
		IsRetry: r.Header.Get("X-Repeat") == "1",
		IsWrite: hasFlag(r.Header.Get("X-Facts"), "write"),
	}
	us, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64)
	if err == nil && us >= 0 && us < maxClientTimeout.Seconds()*1e6 {
		e.WorkHint = time.Duration(us * float64(time.Microsecond))
		e.HasWorkHint = true
	}
	return e
}

// hasFlag reports whether text, the value of X-Facts, has a field of the given name with a value other than empty, "0" and
// "false". X-Facts is a comma-separated list of name=value fields.
func hasFlag(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd copies a header without its hop-by-hop fields and without the fields that the node sets or uses itself.
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
