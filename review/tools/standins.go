package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// listedServer is an entry of discovery's list.
type listedServer struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type listAnswer struct {
	Version int            `json:"version"`
	Full    bool           `json:"full"`
	Servers []listedServer `json:"servers"`
}

func answerOf(version int, full bool, servers []listedServer) listAnswer {
	if servers == nil {
		servers = []listedServer{}
	}
	return listAnswer{version, full, servers}
}

// fixedDiscovery serves a list that never changes, as the protocol page says.
func fixedDiscovery(servers []listedServer) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := answerOf(1, true, servers)
		if since := r.URL.Query().Get("since"); since == "1" {
			ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			answer = answerOf(1, false, nil)
		}
		json.NewEncoder(w).Encode(answer)
	}))
	return l.Addr().String(), nil
}

// execution is a request that an app server has run. timeLeft is what the node told the server in X-Time-Left.
type execution struct {
	id, server string
	at         time.Time
	timeLeft   time.Duration
}

// appServers are the app servers of a case. Each runs a request for its work time and answers with a body that names the
// request's id.
type appServers struct {
	b    *bench
	work time.Duration
	// second, if set, says how long after an answer the server sends the same answer again; 0 for not at all.
	second func(id string) time.Duration

	hangs int // number of servers that hang: they accept connections and read nothing

	mu   sync.Mutex
	runs []execution
	held []net.Conn // connections of the servers that hang; one that nobody refers to would be closed
}

// start starts n servers and returns their entries.
func (a *appServers) start(n int) ([]listedServer, error) {
	var list []listedServer
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := listedServer{ID: fmt.Sprintf("s-%08x", 0x5be2a000+i*7919), Addr: l.Addr().String(), Zone: "rusayl", Kind: "std-2c", State: "ready", Weight: 1}
		list = append(list, s)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if i < a.hangs {
					a.b.log("server %s: hangs, with a connection from %v", s.ID, c.RemoteAddr())
					a.mu.Lock()
					a.held = append(a.held, c)
					a.mu.Unlock()
					continue
				}
				go a.serve(s.ID, c)
			}
		}()
	}
	return list, nil
}

// answerBody is the body that an app server gives for a request.
func answerBody(id string) string { return "answer to " + id }

func (a *appServers) serve(server string, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var write sync.Mutex
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Correlation-Id")
		a.mu.Lock()
		seconds, _ := strconv.ParseFloat(req.Header.Get("X-Time-Left"), 64)
		a.runs = append(a.runs, execution{id, server, time.Now(), time.Duration(seconds * float64(time.Second))})
		a.mu.Unlock()
		a.b.log("server %s: runs %s, %s %s, X-Time-Left %s", server, id, req.Method, req.URL.Path, req.Header.Get("X-Time-Left"))
		time.Sleep(a.work)
		body := answerBody(id)
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write.Lock()
		_, err = c.Write(answer)
		write.Unlock()
		if err != nil {
			return
		}
		if a.second == nil {
			continue
		}
		if delay := a.second(id); delay > 0 {
			time.AfterFunc(delay, func() {
				write.Lock()
				defer write.Unlock()
				if _, err := c.Write(answer); err == nil {
					a.b.log("server %s: the answer to %s a second time, %v later", server, id, delay)
				}
			})
		}
	}
}

// executions returns what has run so far.
func (a *appServers) executions() []execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs)
}

// runsOf returns how often each request has run.
func (a *appServers) runsOf() map[string]int {
	n := map[string]int{}
	for _, e := range a.executions() {
		n[e.id]++
	}
	return n
}

// requestBytes is a client's request in the form of the protocol page.
func requestBytes(id, class, tenant string, timeLeft time.Duration) []byte {
	var out bytes.Buffer
	method, body := "GET", ""
	if class == "place-order" {
		method, body = "POST", "order "+id
	}
	fmt.Fprintf(&out, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Account: %s\r\nX-Time-Left: %.3f\r\n", method, class, id, tenant, timeLeft.Seconds())
	if method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	return out.Bytes()
}

// reply is what a client got for a request.
type reply struct {
	status int
	body   string
	took   time.Duration
	err    error // no whole answer came
}

// exchange sends a request on a connection and waits for its answer until a time after the sending.
func exchange(c net.Conn, r *bufio.Reader, id, class, tenant string, timeLeft, wait time.Duration) reply {
	sent := time.Now()
	c.SetDeadline(sent.Add(wait))
	if _, err := c.Write(requestBytes(id, class, tenant, timeLeft)); err != nil {
		return reply{err: err, took: time.Since(sent)}
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return reply{err: err, took: time.Since(sent)}
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	return reply{status: resp.StatusCode, body: string(body), took: time.Since(sent), err: err}
}

// isReady reports whether a node answers yes to the front.
func isReady(node string) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + node + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Outcomes of a request without a whole answer.
const (
	noAnswer         = "WRONG: no answer half a second after its time"
	closedUnanswered = "closed without an answer"
)

// lostOrClosed names the outcome of a request whose answer could not be read because of err.
func lostOrClosed(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return noAnswer
	}
	return closedUnanswered
}

// startNodeWith starts discovery's stand-in and a node for a list of servers, and waits until the node is ready. It returns the
// address for clients.
func (b *bench) startNodeWith(list []listedServer, sockets int) (listen string, err error) {
	disc, err := fixedDiscovery(list)
	if err != nil {
		return "", err
	}
	if listen, err = freeAddr(); err != nil {
		return "", err
	}
	if _, err := b.startNode(nodeConfig{listen: listen, discovery: disc, sockets: sockets, memoryMB: 192, servers: list}); err != nil {
		return "", err
	}
	if !until(10*time.Second, func() bool { return isReady(listen) }) {
		return "", fmt.Errorf("%w: the node is not ready", errNotRun)
	}
	return listen, nil
}
