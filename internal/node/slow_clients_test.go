package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Peers that send bytes and disconnect leave no connection behind. Their bytes hold no complete request, or only after a bad
// one, and none of them reaches a server as a request. TestSilentPeer checks how long the connection of a peer that stays is
// kept.
func TestPeersThatDisconnect(t *testing.T) {
	t.Parallel()
	complete, long := requestText("order", "9.5", "b"), orderHead("Content-Length: 1000000")
	for name, text := range map[string]string{"nothing": "", "half a head": complete[:40], "half a body": complete[:len(complete)-1],
		"a megabyte of garbage": strings.Repeat("\x16\x03", 1<<19), "a head without an end": "GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20),
		"a part of a long body": long + strings.Repeat(complete, 2000), "a chunk without an end": orderHead("Transfer-Encoding: chunked") + "fffff\r\n" + strings.Repeat("b", 1<<17),
		"a bad request and proper ones": "GET /read HTTP/1.1\r\n\r\n" + strings.Repeat(complete, 1000)} {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var got atomic.Int64
				addr := startServer(t, func(c net.Conn) {
					r := bufio.NewReader(c)
					for {
						if _, _, err := readCompleteRequest(r); err != nil {
							return // incomplete, so no request
						}
						got.Add(1)
						io.WriteString(c, ok("x"))
					}
				})
				f := startFrontend(t, &Config{Settings: settings(), Known: readyServers(addr)})
				c, _, _ := f.dial(t)
				io.WriteString(c, text) // fails if the node closes the connection before it has received all of text
				leave(c, reset)
				f.awaitEmpty(t)
				if got.Load() > 0 {
					t.Errorf("%d requests got to the server", got.Load())
				}
			})
		}
	}
}

// A request that comes byte by byte is served. The bytes after it are no request, and are answered with an error or the end of
// the connection.
func TestRequestInSingleBytes(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { got.Add(1); return ok("x") }))
	f := startFrontend(t, &Config{Settings: settings(), Known: readyServers(addr)})
	c, r, _ := f.dial(t)
	c.SetNoDelay(true)
	w := bufio.NewWriterSize(c, 16)
	for _, b := range []byte(requestText("order", "9.5", "body") + "\x00 is no request\r\n\r\n") {
		w.WriteByte(b)
		w.Flush()
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%+v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	if resp, err := http.ReadResponse(r, nil); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("%+v, %v", resp, err)
	}
	c.Close()
	f.awaitEmpty(t)
	if got.Load() != 1 {
		t.Errorf("%d requests got to the server", got.Load())
	}
}
