package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"
)

// maxNotificationTime is the time within which a node has to know a change that a silent watch misses.
const maxNotificationTime = 6 * time.Second

// A watch that falls silent while it waits is canceled and opened again in time for the node to know the changes that the watch
// misses. The same applies to a watch that is silent when SIGHUP arrives without changing the address of discovery. The stub sends
// the missed change only in a complete list, which is indented. The test covers both pushed and requested lists.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		for _, reload := range []bool{false, true} {
			t.Run(fmt.Sprintf("pushed %v, reload %v", pushed, reload), func(t *testing.T) {
				t.Parallel()
				var former, later = startServer(t, answerWith(func(*http.Request, []byte) string { return ok("former") })),
					startServer(t, answerWith(func(*http.Request, []byte) string { return ok("later") }))
				silent, reopened := make(chan time.Time, 1), make(chan time.Time, 9)
				c := &Config{Settings: settings(), Known: endpointList{version: 1}}
				c.Settings.PollsEndpoints = !pushed
				c.Discovery = silentDiscovery(t, former, later, silent, reopened)
				n := start(t, c)
				n.waitReady(t, 200)
				began := <-silent
				if reload {
					n.reloads <- &Config{Settings: c.Settings, Discovery: c.Discovery}
				}
				select {
				case at := <-reopened:
					if took := at.Sub(began); took > maxNotificationTime {
						t.Errorf("the watch was opened again after %v, want %v at most", took, maxNotificationTime)
					}
				case <-time.After(2 * testTimeout):
					t.Fatal("the silent watch is not opened again")
				}
				for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
					if _, body := n.doRequest(t, requestText("read", "9.5", "")); body == "later" {
						return
					}
					if time.Now().After(end) {
						t.Fatal("the change during the silence is not applied")
					}
				}
			})
		}
	}
}

// silentDiscovery starts a stub of discovery that never answers the third call, although the list changes meanwhile: server later
// replaces former. It sends the times at which the third and the fourth call arrive to silent and reopened.
func silentDiscovery(t *testing.T, former, later string, silent, reopened chan time.Time) netip.AddrPort {
	return stubDiscovery(t, func(n int, q url.Values) string {
		switch {
		case n == 1:
			return jsonList(2, true, "ready", former)
		case n == 2:
			time.Sleep(10 * time.Millisecond)
			return ok(`{"version":2,"full":false,"servers":[]}`)
		case n == 3:
			silent <- time.Now()
			<-t.Context().Done()
			return ""
		case n == 4:
			reopened <- time.Now()
		}
		if q.Get("since") == "3" {
			time.Sleep(20 * time.Millisecond)
			return ok("{\n  \"version\": 3,\n  \"full\": false,\n  \"servers\": [ ]\n}\n")
		}
		_, text, _ := strings.Cut(jsonList(3, true, "ready", later), "\r\n\r\n")
		var indented bytes.Buffer
		json.Indent(&indented, []byte(text), "\r\n\t", "  ")
		return ok(indented.String())
	})
}
