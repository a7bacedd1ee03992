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

func TestColdRuleAllows(t *testing.T) {
	r := SlowStart{From: 0.4, For: 10 * time.Second, Factor: 4, Span: 1500 * time.Millisecond, Rate: 10}
	for age, want := range map[time.Duration]float64{0: 24, 5 * time.Second: 42, 10 * time.Second: 60, time.Minute: 60} {
		if got := r.Allowed(age); math.Abs(got-(want+3*math.Sqrt(want)+3)) > 1e-9 {
			t.Errorf("age %v: %v", age, got)
		}
	}
}

// One request more than the rule allows within its span fells it, spread over the span or not; as many, or the same
// over two spans, or once it is warm, do not. The fall names who sent what, and ends after the cold time.
func TestColdFallIsTheRuleAtItsEdge(t *testing.T) {
	rule := SlowStart{From: 0.4, For: 10 * time.Second, Factor: 4, Span: 1500 * time.Millisecond, Rate: 10}
	maximum := int(rule.Allowed(0)) // 41
	for name, c := range map[string]struct {
		n     int
		from  time.Duration
		apart time.Duration
		falls bool
	}{
		"as many at once":     {maximum, 0, 0, false},
		"one more at once":    {maximum + 1, 0, 0, true},
		"slowly":              {200, 0, time.Second / 24, false},
		"fast enough to fell": {200, 0, time.Second / 60, true},
		"warm":                {500, 10 * time.Second, 0, false},
	} {
		c2 := slowStartState{rule: rule}
		c2.restart(time.Minute)
		fell := false
		for i := range c.n {
			if f, ok := c2.arrive(time.Minute+c.from+time.Duration(i)*c.apart, i%3); ok {
				fell = true
				if float64(len(f.Got)) <= f.Allowed || f.Start != time.Minute || !c2.down(f.At+9*time.Second) || c2.down(f.At+10*time.Second) {
					t.Errorf("%s: fall %+v", name, f)
				}
				break
			}
		}
		if fell != c.falls {
			t.Errorf("%s: fell %v", name, fell)
		}
	}
}

// The stub itself: restarted and overloaded, it resets what it has and what comes, is recorded once, and is up
// again after its cold time.
func TestAppServerFallsWhenCold(t *testing.T) {
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
	push := func() {
		var wg sync.WaitGroup
		for i := range 150 { // it bears 40 + 3*sqrt(40) + 3 within half a second when just up
			wg.Go(func() { get(fmt.Sprintf("%s-%d", "p", i)) })
		}
		wg.Wait()
	}
	if push(); len(rec.Falls()) != 0 {
		t.Fatalf("it fell though it never started: %v", rec.Falls())
	}
	if err := s.Restart(0); err != nil {
		t.Fatal(err)
	}
	push()
	if f := rec.Falls(); len(f) != 1 || f[0].Server != "s" || f[0].Got[0].Node != 3 {
		t.Fatalf("falls %v", f)
	}
	if code := get("down"); code != 0 {
		t.Errorf("it answers %d though it fell", code)
	}
	end := time.Now().Add(20 * time.Second)
	for get("up") != http.StatusOK {
		if time.Now().After(end) {
			t.Fatal("it is not up again after its cold time")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
