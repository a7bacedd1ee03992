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
	intentTimeout      = time.Second            // for an update of what is intended, in one call; each answer confirms the ages
	intentAnswerSlack  = time.Second            // an answer later than this is none
	minIntentInterval  = 50 * time.Millisecond  // between calls, whatever the agent answers
	reportTimeout      = time.Second            // for the answer to a report
	minReportInterval  = 50 * time.Millisecond  // between reports, also where the answer wants another at once
	maxReportInterval  = time.Second            // between reports where nothing was seen
	leaveTimeout       = 500 * time.Millisecond // for the agent to take the last one
	defaultNotReadyTTL = 6 * time.Second        // an "out" that is not said again lapses, where the agent names no lease
	maxNotReadyTTL     = time.Minute
	maxWantedKeys      = 4096 // things that an answer may request
	faultLogInterval   = 10 * time.Second
	maxFaultText       = 300 // bytes of an error that are logged
)

// fleetClient is a node's only tie to the fleet: it watches what is intended at the agent on its machine, has the loop tell
// the module, and posts what the module saw and holds. Nothing that the agent says, or its silence, stops a request. A
// nil *fleetClient is that of a node outside any fleet.
type fleetClient struct {
	FleetConfig
	member       fleet.Member
	loop         *eventLoop
	nodeNotReady func() string // why the node would not be ready by itself
	client       *http.Client
	log          *slog.Logger
	startedAt    time.Time
	caughtUp     chan struct{} // closed once the node may serve: T4 of docs/fleet.md
	caughtUpOnce sync.Once

	notReadyUntil atomic.Int64 // until when the control plane keeps the node not ready; Unix ns
	faults        atomic.Int64 // calls that gave nothing usable
	faultLoggedAt atomic.Int64 // when one was last logged; Unix ns

	revision uint64 // that the module has applied completely; the loop's
	synced   bool   // the loop's

	reportLock sync.Mutex // what follows is the sender's
	sequence   uint64
	hasLeft    bool
}

// newFleetClient returns nil where the configuration has no fleet block.
func newFleetClient(c *Config, l *eventLoop, unwell func() string, log *slog.Logger) *fleetClient {
	if c.Fleet == nil {
		return nil
	}
	now := time.Now()
	m := fleet.Member{Node: c.Name, Zone: c.Settings.Zone, Incarnation: uint64(now.UnixNano())}
	return &fleetClient{FleetConfig: *c.Fleet, member: m, loop: l, nodeNotReady: unwell, startedAt: now, caughtUp: make(chan struct{}),
		log: log.With("node", m.Node, "incarnation", m.Incarnation),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: intentAnswerSlack}).DialContext,
				MaxConnsPerHost:        3,
				MaxIdleConnsPerHost:    2,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // the agent, and nobody else
		}}
}

// run watches and reports until ctx ends.
func (f *fleetClient) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	f.log.Info("fleet", "agent", f.Agent, "zone", f.member.Zone, "services", f.Services)
	var both sync.WaitGroup
	both.Go(func() { f.watch(ctx) })
	both.Go(func() { f.sendReports(ctx) })
	both.Wait()
}

// notReadyReason tells why the fleet keeps the node not ready, or nothing if it does not.
func (f *fleetClient) notReadyReason() string {
	if f == nil {
		return ""
	}
	select {
	case <-f.caughtUp:
	default:
		return "what the fleet intends is not known yet"
	}
	if time.Now().UnixNano() < f.notReadyUntil.Load() {
		return "the fleet has taken it out"
	}
	return ""
}

// readyToServe is closed once the node may serve; nil, where nothing is to be waited for.
func (f *fleetClient) readyToServe() <-chan struct{} {
	if f == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return f.caughtUp
}

// watch requests what is intended, again and again, and has the module notified.
func (f *fleetClient) watch(ctx context.Context) {
	m, retry := agentclient.NewIntentMirror(f.member), backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minIntentInterval, intentTimeout
	for ctx.Err() == nil {
		requested := time.Now()
		in, came, err := f.intent(ctx, m)
		if err == nil {
			err = m.Merge(in)
		}
		pause := minIntentInterval
		if err != nil {
			f.logFault(ctx, "intent", err)
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
			f.applyIntent(m, came, in.CaughtUp)
			if !m.Changed && came.Sub(requested) < minIntentInterval { // an agent may answer at once, always
				pause = f.Report
			}
		}
		sleep(ctx, pause)
	}
}

// intent makes one call of the watch, and tells when its answer came.
func (f *fleetClient) intent(ctx context.Context, m *agentclient.IntentMirror) (fleet.Intent, time.Time, error) {
	wait := intentTimeout
	if !m.Answered {
		wait = 0
	}
	path := fmt.Sprintf("/fleet/v1/intent?since=%d&timeout_ms=%d&node=%s", m.Revision, wait.Milliseconds(), url.QueryEscape(f.member.Node))
	body, err := f.call(ctx, http.MethodGet, path, nil, wait+intentAnswerSlack, fleet.MaxIntentBytes)
	if err != nil {
		return fleet.Intent{}, time.Time{}, err
	}
	came := time.Now()
	in, err := fleet.DecodeIntent(body)
	return in, came, err
}

// applyIntent has the loop tell the module of the last answer, and waits for it.
func (f *fleetClient) applyIntent(m *agentclient.IntentMirror, came time.Time, complete bool) {
	done := make(chan struct{})
	notified := f.loop.post(func() {
		defer close(done)
		for _, e := range m.Events(time.Since(came)) {
			f.loop.handle(e)
		}
		f.revision = m.Revision
		if m.Changed {
			f.log.Info("fleet intent applied", "revision", m.Revision, "tenants", len(m.ChangedTenants), "age", m.Age)
		}
		if complete {
			f.sync()
		}
	})
	if !notified {
		return
	}
	select {
	case <-done:
	case <-f.loop.ctx.Done():
	}
}

// sync tells the module, once, that all has been delivered. It runs in the loop.
func (f *fleetClient) sync() {
	if !f.synced {
		f.synced = true
		f.loop.handle(policy.FleetSynced{Revision: f.revision})
		f.log.Info("fleet synced", "revision", f.revision, "after", time.Since(f.startedAt))
	}
}

// sendReports sends them: at every turn while something is seen, at least each second, and at once where the answer
// wants more.
func (f *fleetClient) sendReports(ctx context.Context) {
	var want []string
	var last time.Time
	since := policy.Time(0) // of the windows with nothing in them
	for ctx.Err() == nil {
		wait := f.Report
		if len(want) > 0 {
			wait = minReportInterval
		}
		if sleep(ctx, wait); ctx.Err() != nil {
			return
		}
		over := time.Since(f.startedAt) >= f.CatchUp
		o := f.observe(over)
		if o == nil {
			return
		}
		if over {
			f.caughtUpOnce.Do(func() { close(f.caughtUp) })
		}
		if since != 0 {
			o.Window.Start = since
		}
		if o.Idle() && len(want) == 0 && time.Since(last) < maxReportInterval && f.notReadyReason() == "" {
			since = o.Window.Start
			continue
		}
		since, last = 0, time.Now()
		answer, err := f.sendReport(ctx, o, want, false)
		if want = nil; err != nil {
			f.logFault(ctx, "report", err)
			continue
		}
		want = answer.WantedKeys
		f.applyAnswer(answer, o.Synced)
	}
}

// applyAnswer takes the control plane's answer on whether the node is to be ready. after: the report was made after all had been delivered.
func (f *fleetClient) applyAnswer(a fleet.ReportAnswer, after bool) {
	if !a.NotReady {
		if f.notReadyUntil.Swap(0) != 0 {
			f.log.Info("fleet: ready again")
		}
		if after {
			f.caughtUpOnce.Do(func() { close(f.caughtUp) })
		}
		return
	}
	ttl := defaultNotReadyTTL
	if a.LeaseTTLMS > 0 {
		ttl = min(agentclient.Millis(a.LeaseTTLMS), maxNotReadyTTL)
	}
	if f.notReadyUntil.Swap(time.Now().Add(ttl).UnixNano()) == 0 {
		f.log.Warn("fleet: taken out of the load balancer", "ttl", ttl)
	}
}

// observe reads what a report is made of, in one turn of the loop; nil once that has ended. over: the time to
// catch up is.
func (f *fleetClient) observe(over bool) *agentclient.Observation {
	done := make(chan *agentclient.Observation, 1)
	posted := f.loop.post(func() {
		if over {
			f.sync()
		}
		now := f.loop.now()
		window := f.loop.module.Window(now)
		window.Start = max(window.Start, f.loop.clockBase) // the first has no beginning
		done <- &agentclient.Observation{
			Window:        window,
			Items:         f.loop.module.Applied(),
			Now:           now,
			Revision:      f.revision,
			ListVersion:   f.loop.listVersion,
			Ready:         f.nodeNotReady() == "",
			Synced:        f.synced,
			SettingsSince: f.loop.settingsSince,
		}
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

// sendReport posts a report. One that leaves is the last.
func (f *fleetClient) sendReport(ctx context.Context, o *agentclient.Observation, want []string, leaving bool) (a fleet.ReportAnswer, err error) {
	f.reportLock.Lock()
	defer f.reportLock.Unlock()
	if f.hasLeft {
		return a, nil
	}
	f.sequence++
	r := o.Report(f.member, f.sequence, want)
	r.Services = f.Services
	if f.hasLeft = leaving; leaving {
		r.Draining, r.Ready = true, false
	}
	text, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	body, err := f.call(ctx, http.MethodPost, "/fleet/v1/report", text, reportTimeout, fleet.MaxReportBytes)
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return fleet.ReportAnswer{}, err
	}
	if a.LeaseTTLMS < 0 || len(a.WantedKeys) > maxWantedKeys {
		return fleet.ReportAnswer{}, fmt.Errorf("the answer to a report: ttl_ms %d, %d wants", a.LeaseTTLMS, len(a.WantedKeys))
	}
	return a, nil
}

// leave reports that this run ends: it has stopped using what was leased to it.
func (f *fleetClient) leave(ctx context.Context) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if o := f.observe(false); o != nil {
		if _, err := f.sendReport(ctx, o, nil, true); err != nil {
			f.logFault(ctx, "leaving", err)
		}
	}
}

// call makes one call to the agent. An answer other than 200, or over limit bytes, is an error.
func (f *fleetClient) call(ctx context.Context, method, path string, body []byte, wait time.Duration, limit int) ([]byte, error) {
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

// logFault counts a call that gave nothing usable; what was notified before holds on. It is logged at a bounded rate.
func (f *fleetClient) logFault(ctx context.Context, call string, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // the node ends
	}
	n, now := f.faults.Add(1), time.Now().UnixNano()
	if last := f.faultLoggedAt.Load(); last != 0 && now-last < int64(faultLogInterval) || !f.faultLoggedAt.CompareAndSwap(last, now) {
		return
	}
	text := err.Error()
	f.log.Warn("no usable answer from the fleet agent", "call", call, "faults", n, "err", text[:min(len(text), maxFaultText)])
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
