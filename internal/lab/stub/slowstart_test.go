package stub

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestSlowStartAllowed(t *testing.T) {
	r := SlowStart{From: 0.4, For: 10 * time.Second, Factor: 4, Span: 1500 * time.Millisecond, Rate: 10}
	for age, want := range map[time.Duration]float64{0: 24, 5 * time.Second: 42, 10 * time.Second: 60, time.Minute: 60} {
		if got := r.Allowed(age); math.Abs(got-(want+3*math.Sqrt(want)+3)) > 1e-9 {
			t.Errorf("age %v: %v", age, got)
		}
	}
}

// One request more than the rule allows within Span overloads the server, whether or not the requests are spread over Span. The allowed
// number, the same number over two spans, or any number at a warm server does not. The recorded overload names the node
// of each request, and the server is up again after For.
func TestOverloadBeginsAboveAllowed(t *testing.T) {
	rule := SlowStart{From: 0.4, For: 10 * time.Second, Factor: 4, Span: 1500 * time.Millisecond, Rate: 10}
	maximum := int(rule.Allowed(0)) // 41
	for name, c := range map[string]struct {
		requests  int
		age       time.Duration
		apart     time.Duration
		overloads bool
	}{
		"allowed number at once":  {maximum, 0, 0, false},
		"one more at once":        {maximum + 1, 0, 0, true},
		"slowly":                  {200, 0, time.Second / 24, false},
		"fast enough to overload": {200, 0, time.Second / 60, true},
		"warm":                    {500, 10 * time.Second, 0, false},
	} {
		state := slowStartState{rule: rule}
		state.restart(time.Minute)
		overloaded := false
		for i := range c.requests {
			if f, ok := state.arrive(time.Minute+c.age+time.Duration(i)*c.apart, i%3); ok {
				overloaded = true
				if float64(len(f.Got)) <= f.Allowed || f.Start != time.Minute || !state.isDown(f.At+9*time.Second) || state.isDown(f.At+10*time.Second) {
					t.Errorf("%s: overload %+v", name, f)
				}
				break
			}
		}
		if overloaded != c.overloads {
			t.Errorf("%s: overloaded %v", name, overloaded)
		}
	}
}

// An app server that is overloaded after a restart resets its connections and the new ones, records the overload once, and is up again
// after For.
func TestWarmingAppServerFailsOnOverload(t *testing.T) {
	rec := NewRecorder()
	s, err := NewAppServer(ServerSpec{ID: "s", Capacity: 1, Latency: 20 * time.Millisecond, MaxConns: 500, IdleClose: time.Minute,
		SlowStart: SlowStart{From: 0.4, For: 2 * time.Second, Factor: 4, Span: 500 * time.Millisecond}},
		"127.0.0.1:0", func(string) int { return 3 }, rec, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	get := func(id string) int {
		rec.Sending(id)
		req, _ := http.NewRequest(http.MethodGet, "http://"+s.Addr+"/schedule-view", nil)
		req.Header.Set("X-Correlation-Id", id)
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	sendBurst := func() {
		var wg sync.WaitGroup
		for i := range 150 { // just after the start, the server tolerates 40 + 3*sqrt(40) + 3 within half a second
			wg.Go(func() { get(fmt.Sprintf("%s-%d", "p", i)) })
		}
		wg.Wait()
	}
	if sendBurst(); len(rec.Falls()) != 0 {
		t.Fatalf("overloaded without a restart: %v", rec.Falls())
	}
	if err := s.Restart(0); err != nil {
		t.Fatal(err)
	}
	sendBurst()
	if f := rec.Falls(); len(f) != 1 || f[0].Server != "s" || f[0].Got[0].Node != 3 {
		t.Fatalf("overloads: %v", f)
	}
	if code := get("down"); code != 0 {
		t.Errorf("status %d from a server that is down after an overload", code)
	}
	end := time.Now().Add(20 * time.Second)
	for get("up") != http.StatusOK {
		if time.Now().After(end) {
			t.Fatal("the server is not up again after its downtime")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
