package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"
)

// answerBy is when an answer comes at the latest, after the client's time: the rule's half second, and slack for a slow machine.
const answerBy = stallTimeout / 2

// longOrder writes an order with a long body to w, with a length or chunked. The client waits for the answer for the given time.
func longOrder(w io.Writer, length int, chunked bool, timeLeft time.Duration) error {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	head := orderHeadFor(timeLeft, framing)
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	body := strings.Repeat("b", length)
	if !chunked {
		_, err := io.WriteString(w, body)
		return err
	}
	const chunk = 20000
	chunks := httputil.NewChunkedWriter(w)
	for len(body) > 0 {
		n := min(chunk, len(body))
		if _, err := io.WriteString(chunks, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	chunks.Close()
	_, err := io.WriteString(w, "\r\n")
	return err
}

// An app server stops taking the bytes of a long body that its client has sent in full. The client still gets its answer in time,
// and not only when the node gives up the stalled transfer. TestAnswerClock has the exact times.
func TestAppServerStopsWithinLongBody(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		pause time.Duration
		takes int64 // bytes
	}{
		"takes nothing":              {0, 0},
		"takes a part":               {0, 150000},
		"takes a part after a pause": {200 * time.Millisecond, 100000},
	} {
		for _, length := range []int{384 << 10, 2 << 20} {
			for _, chunked := range []bool{false, true} {
				for _, timeLeft := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %d bytes, chunked %v, %v", name, length, chunked, timeLeft), func(t *testing.T) {
						t.Parallel()
						addr := startServer(t, func(conn net.Conn) {
							time.Sleep(c.pause)
							io.CopyN(io.Discard, conn, c.takes)
							<-t.Context().Done()
						})
						n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
						conn, r := n.dial(t)
						sent := make(chan time.Time, 1)
						go func() {
							longOrder(conn, length, chunked, timeLeft)
							sent <- time.Now()
						}()
						resp, err := http.ReadResponse(r, nil)
						if err != nil || resp.StatusCode < 500 {
							t.Fatalf("%+v, %v", resp, err)
						}
						if took := time.Since(<-sent); took > timeLeft+answerBy {
							t.Errorf("status %d came %v after the last byte", resp.StatusCode, took)
						}
					})
				}
			}
		}
	}
}

// An app server begins an answer within a long body that its client has sent in full, and stops within that answer. The attempt ends
// by the client's time, and as the request never ran, the client may try it again.
func TestAppServerStopsWithinEarlyAnswer(t *testing.T) {
	t.Parallel()
	const timeLeft = 500 * time.Millisecond
	for name, answer := range map[string]string{
		"half a status line": "HTTP/1.1 50",
		"half a head":        "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-",
		"half a body":        "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nfu",
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				t.Parallel()
				addr := startServer(t, func(conn net.Conn) {
					io.CopyN(io.Discard, conn, 2*maxBufferedBody) // into the part that can't be sent again
					io.WriteString(conn, answer)
					<-t.Context().Done()
				})
				n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
				conn, r := n.dial(t)
				began := time.Now()
				go longOrder(conn, 2<<20, chunked, timeLeft)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("%+v, %v", resp, err)
				}
				if took := time.Since(began); took > timeLeft+answerBy {
					t.Errorf("the answer came after %v", took)
				}
			})
		}
	}
}

// Clients and app servers that are slow with a long body, but get on, are served, however short the client's time for the answer.
func TestSlowPeersWithinLongBody(t *testing.T) {
	t.Parallel()
	answer := func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, _, err := readCompleteRequest(r); err != nil {
				return
			}
			io.WriteString(c, ok("x"))
		}
	}
	pauseFirst := func(pause time.Duration) func(net.Conn) {
		return func(c net.Conn) { time.Sleep(pause); answer(c) }
	}
	for name, c := range map[string]struct {
		length   int
		timeLeft time.Duration
		pause    time.Duration // of the client, ten times within the body
		serve    func(net.Conn)
	}{
		"client slower than its time":                   {300000, 2 * time.Second, 300 * time.Millisecond, answer},
		"app server pauses within the client's time":    {384 << 10, 9 * time.Second, 0, pauseFirst(time.Second)},
		"app server pauses while the client can't send": {24 << 20, 3 * time.Second, 0, pauseFirst(4 * time.Second)},
	} {
		for _, chunked := range []bool{false, true} {
			if chunked && c.length > maxLongBody/2 { // without a length the node can't know that there is more
				continue
			}
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				t.Parallel()
				n := start(t, &Config{Settings: settings(), Known: readyServers(startServer(t, c.serve))})
				conn, r := n.dial(t)
				go longOrder(pausingWriter{conn, c.length / 10, c.pause}, c.length, chunked, c.timeLeft)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%+v, %v", resp, err)
				}
			})
		}
	}
}

// pausingWriter writes in pieces of at most the given size, with a pause after each.
type pausingWriter struct {
	io.Writer
	size  int
	pause time.Duration
}

func (w pausingWriter) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var written int
		written, err = w.Writer.Write(p[n:min(len(p), n+w.size)])
		n += written
		if n == len(p) && n < w.size { // a head or a chunk's framing
			return n, err
		}
		time.Sleep(w.pause)
	}
	return n, err
}
