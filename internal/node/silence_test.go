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

// notifiedWithin is by when a node has to know of what a silent watch misses.
const notifiedWithin = 6 * time.Second

// A watch that falls silent in the middle of its wait is broken and opened anew, before the node has to
// know of what it misses; so is one that is silent when SIGHUP comes and leaves discovery where it is. What changed in the silence is
// not sent again but with the list, and that comes indented. Both ways of following the list do so.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		for _, reload := range []bool{false, true} {
			t.Run(fmt.Sprintf("pushed %v, reload %v", pushed, reload), func(t *testing.T) {
				t.Parallel()
				var former, later = backend(t, answering(func(*http.Request, []byte) string { return ok("former") })),
					backend(t, answering(func(*http.Request, []byte) string { return ok("later") }))
				silent, again := make(chan time.Time, 1), make(chan time.Time, 9)
				c := &Config{Settings: settings(), Known: endpointList{version: 1}}
				c.Settings.PollsEndpoints = !pushed
				c.Discovery = silentRegistry(t, former, later, silent, again)
				n := start(t, c)
				n.waitReady(t, 200)
				began := <-silent
				if reload {
					n.reloads <- &Config{Settings: c.Settings, Discovery: c.Discovery}
				}
				select {
				case at := <-again:
					if took := at.Sub(began); took > notifiedWithin {
						t.Errorf("the watch was opened anew after %v, want %v at most", took, notifiedWithin)
					}
				case <-time.After(2 * patient):
					t.Fatal("the silent watch is not opened anew")
				}
				for end := time.Now().Add(patient); ; time.Sleep(5 * time.Millisecond) {
					if _, body := n.ask(t, message("read", "9.5", "")); body == "later" {
						return
					}
					if time.Now().After(end) {
						t.Fatal("what changed in the silence is not followed")
					}
				}
			})
		}
	}
}

// silentRegistry is discovery whose third call is never answered, though the list changes meanwhile: former is
// replaced by later. It sends when that call and when the next one came.
func silentRegistry(t *testing.T, former, later string, silent, again chan time.Time) netip.AddrPort {
	return registry(t, func(n int, q url.Values) string {
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
			again <- time.Now()
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
