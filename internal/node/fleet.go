package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/agentclient"
	"meadowsill/policy"
)

const (
	intentWait  = time.Second            // for news of what is intended, in one call; each answer confirms the ages
	intentSlack = time.Second            // an answer later than this is none
	intentPause = 50 * time.Millisecond  // between calls, whatever the agent answers
	reportWait  = time.Second            // for the answer to a report
	reportLeast = 50 * time.Millisecond  // between reports, also where the answer wants another at once
	reportMost  = time.Second            // between reports where nothing was seen
	leaveWait   = 500 * time.Millisecond // for the agent to take the last one
	outLast     = 6 * time.Second        // an "out" that is not said again lapses, where the agent names no lease
	outMost     = time.Minute
	wantMost    = 4096 // things that an answer may ask for
	faultEvery  = 10 * time.Second
	faultText   = 300 // bytes of an error that are logged
)

// fleetLink is a node's only tie to the fleet: it watches what is intended at the agent on its machine, has the loop tell
// the module, and posts what the module saw and holds. Nothing that the agent says, or its silence, stops a request. A
// nil *fleetLink is that of a node outside any fleet.
type fleetLink struct {
	FleetConfig
	member fleet.Member
	loop   *loop
	unwell func() string // why the node would not be ready by itself
	client *http.Client
	log    *slog.Logger
	began  time.Time
	caught chan struct{} // closed once the node may serve: T4 of docs/fleet.md
	once   sync.Once

	out    atomic.Int64 // until when the fleet's word keeps the node from the front; Unix ns
	faults atomic.Int64 // calls that gave nothing usable
	logged atomic.Int64 // when one was last logged; Unix ns

	revision uint64 // that the module was told whole; the loop's
	synced   bool   // the loop's

	sending sync.Mutex // what follows is the sender's
	seq     uint64
	left    bool
}

// newFleetLink gives nil where the configuration has no fleet block.
func newFleetLink(c *Config, l *loop, unwell func() string, log *slog.Logger) *fleetLink {
	if c.Fleet == nil {
		return nil
	}
	now := time.Now()
	m := fleet.Member{Node: c.Name, Zone: c.Settings.Zone, Incarnation: uint64(now.UnixNano())}
	return &fleetLink{FleetConfig: *c.Fleet, member: m, loop: l, unwell: unwell, began: now, caught: make(chan struct{}),
		log: log.With("node", m.Node, "incarnation", m.Incarnation),
		client: &http.Client{
			Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: intentSlack}).DialContext, MaxConnsPerHost: 3, MaxIdleConnsPerHost: 2,
				DisableCompression: true, MaxResponseHeaderBytes: headerLimit},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // the agent, and nobody else
		}}
}

// run watches and reports until ctx ends.
func (f *fleetLink) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	f.log.Info("fleet", "agent", f.Agent, "zone", f.member.Zone, "services", f.Services)
	var both sync.WaitGroup
	both.Go(func() { f.watch(ctx) })
	both.Go(func() { f.reports(ctx) })
	both.Wait()
}

// unready tells why the fleet keeps the node from the front, or nothing if it does not.
func (f *fleetLink) unready() string {
	if f == nil {
		return ""
	}
	select {
	case <-f.caught:
	default:
		return "what the fleet intends is not known yet"
	}
	if time.Now().UnixNano() < f.out.Load() {
		return "the fleet has taken it out"
	}
	return ""
}

// mayServe is closed once the node may serve; nil, where nothing is to be waited for.
func (f *fleetLink) mayServe() <-chan struct{} {
	if f == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return f.caught
}

// watch asks for what is intended, again and again, and has it told.
func (f *fleetLink) watch(ctx context.Context) {
	m, retry := agentclient.NewMirror(f.member), backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = intentPause, intentWait
	for ctx.Err() == nil {
		asked := time.Now()
		in, came, err := f.intent(ctx, m)
		if err == nil {
			err = m.Merge(in)
		}
		pause := intentPause
		if err != nil {
			f.fault(ctx, "intent", err)
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
			f.tell(m, came, in.CaughtUp)
			if !m.News && came.Sub(asked) < intentPause { // an agent may answer at once, always
				pause = f.Report
			}
		}
		sleep(ctx, pause)
	}
}

// intent makes one call of the watch, and tells when its answer came.
func (f *fleetLink) intent(ctx context.Context, m *agentclient.Mirror) (fleet.Intent, time.Time, error) {
	wait := intentWait
	if !m.Known {
		wait = 0
	}
	path := fmt.Sprintf("/fleet/v1/intent?since=%d&timeout_ms=%d&node=%s", m.Revision, wait.Milliseconds(), url.QueryEscape(f.member.Node))
	body, err := f.call(ctx, http.MethodGet, path, nil, wait+intentSlack, fleet.MaxIntentBytes)
	if err != nil {
		return fleet.Intent{}, time.Time{}, err
	}
	came := time.Now()
	in, err := fleet.DecodeIntent(body)
	return in, came, err
}

// tell has the loop tell the module of the last answer, and waits for it.
func (f *fleetLink) tell(m *agentclient.Mirror, came time.Time, whole bool) {
	done := make(chan struct{})
	told := f.loop.post(func() {
		defer close(done)
		for _, e := range m.Events(time.Since(came)) {
			f.loop.handle(e)
		}
		f.revision = m.Revision
		if m.News {
			f.log.Info("fleet told", "revision", m.Revision, "tenants", len(m.Changed), "age", m.Age)
		}
		if whole {
			f.sync()
		}
	})
	if !told {
		return
	}
	select {
	case <-done:
	case <-f.loop.ctx.Done():
	}
}

// sync tells the module, once, that all is told. It runs in the loop.
func (f *fleetLink) sync() {
	if !f.synced {
		f.synced = true
		f.loop.handle(policy.FleetSynced{Revision: f.revision})
		f.log.Info("fleet synced", "revision", f.revision, "after", time.Since(f.began))
	}
}

// reports sends them: at every turn while something is seen, at least each second, and at once where the answer
// wants more.
func (f *fleetLink) reports(ctx context.Context) {
	var want []string
	var last time.Time
	since := policy.Time(0) // of the windows with nothing in them
	for ctx.Err() == nil {
		wait := f.Report
		if len(want) > 0 {
			wait = reportLeast
		}
		if sleep(ctx, wait); ctx.Err() != nil {
			return
		}
		over := time.Since(f.began) >= f.CatchUp
		o := f.observe(over)
		if o == nil {
			return
		}
		if over {
			f.once.Do(func() { close(f.caught) })
		}
		if since != 0 {
			o.Window.Start = since
		}
		if o.Idle() && len(want) == 0 && time.Since(last) < reportMost && f.unready() == "" {
			since = o.Window.Start
			continue
		}
		since, last = 0, time.Now()
		answer, err := f.send(ctx, o, want, false)
		if want = nil; err != nil {
			f.fault(ctx, "report", err)
			continue
		}
		want = answer.WantedKeys
		f.heed(answer, o.Synced)
	}
}

// heed takes the fleet's word on whether the node may be in front. after: the report was made with all told.
func (f *fleetLink) heed(a fleet.ReportAnswer, after bool) {
	if !a.NotReady {
		if f.out.Swap(0) != 0 {
			f.log.Info("fleet: back in front")
		}
		if after {
			f.once.Do(func() { close(f.caught) })
		}
		return
	}
	ttl := outLast
	if a.LeaseTTLMS > 0 {
		ttl = min(agentclient.Millis(a.LeaseTTLMS), outMost)
	}
	if f.out.Swap(time.Now().Add(ttl).UnixNano()) == 0 {
		f.log.Warn("fleet: out of the front", "ttl", ttl)
	}
}

// observe reads what a report is made of, in one turn of the loop; nil once that has ended. over: the time to
// catch up is.
func (f *fleetLink) observe(over bool) *agentclient.Observed {
	done := make(chan *agentclient.Observed, 1)
	posted := f.loop.post(func() {
		if over {
			f.sync()
		}
		now := f.loop.now()
		window := f.loop.module.Window(now)
		window.Start = max(window.Start, f.loop.base) // the first has no beginning
		done <- &agentclient.Observed{Window: window, Facts: f.loop.module.Applied(), Now: now, Revision: f.revision, List: f.loop.version,
			Ready: f.unwell() == "", Synced: f.synced, Settled: f.loop.settled}
	})
	if !posted {
		return nil
	}
	select {
	case o := <-done:
		return o
	case <-f.loop.ctx.Done():
		return nil
	}
}

// send posts a report. One that leaves is the last.
func (f *fleetLink) send(ctx context.Context, o *agentclient.Observed, want []string, leaving bool) (a fleet.ReportAnswer, err error) {
	f.sending.Lock()
	defer f.sending.Unlock()
	if f.left {
		return a, nil
	}
	f.seq++
	r := o.Report(f.member, f.seq, want)
	r.Services = f.Services
	if f.left = leaving; leaving {
		r.Draining, r.Ready = true, false
	}
	text, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	body, err := f.call(ctx, http.MethodPost, "/fleet/v1/report", text, reportWait, fleet.MaxReportBytes)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return fleet.ReportAnswer{}, err
	}
	if a.LeaseTTLMS < 0 || len(a.WantedKeys) > wantMost {
		return fleet.ReportAnswer{}, fmt.Errorf("the answer to a report: ttl_ms %d, %d wants", a.LeaseTTLMS, len(a.WantedKeys))
	}
	return a, nil
}

// leave says that this run ends: it has stopped using what was leased to it.
func (f *fleetLink) leave(ctx context.Context) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if o := f.observe(false); o != nil {
		if _, err := f.send(ctx, o, nil, true); err != nil {
			f.fault(ctx, "leaving", err)
		}
	}
}

// call makes one call to the agent. An answer other than 200, or over limit bytes, is an error.
func (f *fleetLink) call(ctx context.Context, method, path string, body []byte, wait time.Duration, limit int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Agent.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the agent answers %.80s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(text) > limit {
		err = fmt.Errorf("the agent answers over %d bytes", limit)
	}
	return text, err
}

// fault counts a call that gave nothing usable; what was told before holds on. It is logged at a bounded rate.
func (f *fleetLink) fault(ctx context.Context, call string, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // the node ends
	}
	n, now := f.faults.Add(1), time.Now().UnixNano()
	if last := f.logged.Load(); last != 0 && now-last < int64(faultEvery) || !f.logged.CompareAndSwap(last, now) {
		return
	}
	text := err.Error()
	f.log.Warn("the fleet's agent gives nothing usable", "call", call, "faults", n, "err", text[:min(len(text), faultText)])
}

// sleep waits, but not beyond ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
