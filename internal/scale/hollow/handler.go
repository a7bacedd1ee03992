package hollow

// A hollow node calls its agent's HTTP handlers within the process. This leaves out the loopback connection between node and agent
// with its descriptors and HTTP parsing, the agent's listener, and the timeouts of a node whose agent is slow to accept. Messages
// are encoded and decoded as they would be over a connection.

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
)

// answer is an http.ResponseWriter that records what a handler writes.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(b)
}

// call passes a request to a handler and returns the body of its answer. A status other than 200 is an error.
func call(ctx context.Context, handler http.Handler, method, target string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://agent"+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a := &answer{header: http.Header{}}
	handler.ServeHTTP(a, request)
	if err := ctx.Err(); err != nil {
		return nil, err // the handler has written nothing, or an answer that came too late
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("the agent answered with status %d: %.200q", a.status, bytes.TrimSpace(a.body.Bytes()))
	}
	return a.body.Bytes(), nil
}
