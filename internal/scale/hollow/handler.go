package hollow

// A node calls its agent's handlers in the process. What that leaves out: the loopback connection between node and agent with
// its descriptors and HTTP parsing, the agent's listener, and the time-outs of a node whose agent is slow to accept. The
// messages are encoded and decoded as over a connection.

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
)

// answer is what a handler wrote.
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

// call has a handler answer a request and gives the body. An answer other than 200 is an error.
func call(ctx context.Context, handler http.Handler, method, target string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://agent"+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a := &answer{header: http.Header{}}
	handler.ServeHTTP(a, request)
	if err := ctx.Err(); err != nil {
		return nil, err // the handler has written nothing, or what nobody waits for
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("the agent answers %d: %.200q", a.status, bytes.TrimSpace(a.body.Bytes()))
	}
	return a.body.Bytes(), nil
}
