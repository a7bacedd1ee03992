package node

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"time"
)

// stubDiscovery starts a stub of discovery and returns its address. The stub passes the number and the query of each call to
// answer, and sends back the result.
func stubDiscovery(t *testing.T, answer func(n int, query url.Values) string) netip.AddrPort {
	var calls atomic.Int64
	return netip.MustParseAddrPort(startServer(t, answerWith(func(r *http.Request, _ []byte) string {
		return answer(int(calls.Add(1)), r.URL.Query())
	})))
}

func jsonList(version int, full bool, state, addr string) string {
	return ok(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":0}]}`,
		version, full, addr, state))
}

func (n *testNode) waitReady(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		resp, _ := n.doRequest(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		if resp.StatusCode == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("/health/ready answers %d, want %d", resp.StatusCode, want)
		}
	}
}

// An invalid list counts as a failed call and does not crash the node. The call is repeated, and the watch continues from the
// version that the node has. A server that starts to drain gets no further requests.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		var requests atomic.Int64
		addr := startServer(t, answerWith(func(*http.Request, []byte) string { requests.Add(1); return ok("x") }))
		failed := make(chan struct{})
		repaired := make(chan struct{})
		drain := make(chan struct{})
		badAnswers := []string{ok(`{"version":"x"`), jsonList(5, false, "asleep", addr), "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}
		c := &Config{Settings: settings(), Known: endpointList{version: 1}}
		c.Settings.PollsEndpoints = !pushed
		c.Discovery = stubDiscovery(t, func(n int, q url.Values) string {
			if n == len(badAnswers) {
				close(failed)
			}
			select {
			case <-repaired:
			default:
				return badAnswers[n%len(badAnswers)]
			}
			switch since := q.Get("since"); since {
			case "1":
				return jsonList(7, true, "ready", addr)
			case "7":
				select {
				case <-drain:
				case <-t.Context().Done(): // so that a failed test ends
				}
				return jsonList(8, false, "draining", addr)
			case "8":
			default:
				t.Errorf("since %q, want 1, 7 or 8", since)
			}
			return ""
		})
		n := start(t, c)
		<-failed
		n.waitReady(t, 503)
		close(repaired)
		n.waitReady(t, 200)
		if resp, _ := n.doRequest(t, requestText("read", "9.5", "")); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
		close(drain)
		n.waitReady(t, 503)
		if resp, _ := n.doRequest(t, requestText("read", "9.5", "")); resp.StatusCode != 503 || requests.Load() != 1 {
			t.Errorf("status %d, %d requests to a draining app server", resp.StatusCode, requests.Load()-1)
		}
		n.stop()
	}
}

// When the address of discovery changes, the watch continues at the new address, although the old one has not answered a call.
func TestDiscoveryAddressChanges(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
		held := make(chan struct{})
		old := stubDiscovery(t, func(n int, _ url.Values) string {
			if n == 2 {
				close(held)
			}
			if n > 1 {
				return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" // the rest of the body never arrives
			}
			return ok(`{"version":1,"full":true,"servers":[]}`)
		})
		c := &Config{Settings: settings(), Discovery: old}
		c.Settings.PollsEndpoints = !pushed
		n := start(t, c)
		<-held
		n.reloads <- &Config{Settings: c.Settings, Discovery: stubDiscovery(t, func(n int, q url.Values) string {
			if n > 1 {
				return ""
			}
			return jsonList(2, true, "ready", addr)
		})}
		n.waitReady(t, 200)
		n.stop()
	}
}
