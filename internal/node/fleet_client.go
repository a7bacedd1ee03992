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
	intentTimeout       = time.Second            // how long a call waits at the agent for a new intent; each answer confirms the ages
	intentAnswerSlack   = time.Second            // added to intentTimeout; a later answer counts as lost
	minIntentInterval   = 50 * time.Millisecond  // between calls for the intent, whatever the agent answers
	reportTimeout       = time.Second            // for the answer to a report
	minReportInterval   = 50 * time.Millisecond  // between reports, also if the answer requests another at once
	maxReportInterval   = time.Second            // between reports while there is nothing new to report
	leaveTimeout        = 500 * time.Millisecond // for the agent to accept the last report
	defaultNotReadyTTL  = 6 * time.Second        // how long an "out" of the agent holds if it names no lease and is not repeated
	maxNotReadyTTL      = time.Minute
	maxWantedKeys       = 4096 // keys that an answer may request
	faultLogInterval    = 10 * time.Second
	maxLoggedErrorBytes = 300 // bytes of an error that are logged
)

// fleetClient is a node's only connection to the fleet. It watches the intent at the agent on the node's machine and passes
// it to the module, and it sends reports on what the module has observed and applied. No answer of the agent, and no missing
// answer, stops a request that is being served. A node outside any fleet has a nil *fleetClient.
type fleetClient struct {
	FleetConfig
	member       fleet.Member
	loop         *eventLoop
	nodeNotReady func() string // returns why the node itself, apart from the fleet, is not ready; empty if it is
	client       *http.Client
	log          *slog.Logger
	startedAt    time.Time
	caughtUp     chan struct{} // closed once the node may serve clients: T4 of docs/fleet.md
	caughtUpOnce sync.Once

	notReadyUntil atomic.Int64 // the control plane keeps the node not ready until then; Unix ns, or 0
	faults        atomic.Int64 // calls without a usable answer
	faultLoggedAt atomic.Int64 // when a fault was last logged; Unix ns

	revision uint64 // the revision that the module has applied completely; only the loop uses it
	synced   bool   // the module has been notified that all is delivered; only the loop uses it

	reportLock sync.Mutex // guards the last report's sequence number, and hasLeft, which says that no report follows it
	sequence   uint64
	hasLeft    bool
}

// newFleetClient returns nil if the configuration has no fleet block.
func newFleetClient(c *Config, l *eventLoop, notReadyReason func() string, log *slog.Logger) *fleetClient {
	if c.Fleet == nil {
		return nil
	}
	now := time.Now()
	m := fleet.Member{Node: c.Name, Zone: c.Settings.Zone, Incarnation: uint64(now.UnixNano())}
	return &fleetClient{FleetConfig: *c.Fleet, member: m, loop: l, nodeNotReady: notReadyReason, startedAt: now, caughtUp: make(chan struct{}),
		log: log.With("node", m.Node, "incarnation", m.Incarnation),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: intentAnswerSlack}).DialContext,
				MaxConnsPerHost:        3,
				MaxIdleConnsPerHost:    2,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // calls only the agent
		}}
}

// run watches the intent and sends reports until ctx ends.
func (f *fleetClient) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	f.log.Info("fleet", "agent", f.Agent, "zone", f.member.Zone, "services", f.Services)
	var running sync.WaitGroup
	running.Go(func() { f.watch(ctx) })
	running.Go(func() { f.sendReports(ctx) })
	running.Wait()
}

// notReadyReason returns why the fleet keeps the node not ready. It is empty if the fleet does not.
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

// readyToServe returns a channel that is closed once the node may serve clients. For a nil *fleetClient, it is closed already.
func (f *fleetClient) readyToServe() <-chan struct{} {
	if f == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return f.caughtUp
}

// watch requests the intent in a loop and passes it to the module, until ctx ends.
func (f *fleetClient) watch(ctx context.Context) {
	m, retry := agentclient.NewIntentMirror(f.member), backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minIntentInterval, intentTimeout
	for ctx.Err() == nil {
		requested := time.Now()
		in, answeredAt, err := f.fetchIntent(ctx, m)
		if err == nil {
			err = m.Merge(in)
		}
		pause := minIntentInterval
		if err != nil {
			f.logFault(ctx, "intent", err)
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
			f.applyIntent(m, answeredAt, in.CaughtUp)
			if !m.Changed && answeredAt.Sub(requested) < minIntentInterval { // an agent may answer every call at once
				pause = f.Report
			}
		}
		sleep(ctx, pause)
	}
}

// fetchIntent makes one call of the watch, and returns the intent and when its answer arrived.
func (f *fleetClient) fetchIntent(ctx context.Context, m *agentclient.IntentMirror) (fleet.Intent, time.Time, error) {
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

// applyIntent has the loop pass the last answer to the module, and waits until that is done.
func (f *fleetClient) applyIntent(m *agentclient.IntentMirror, answeredAt time.Time, complete bool) {
	done := make(chan struct{})
	notified := f.loop.post(func() {
		defer close(done)
		for _, e := range m.Events(time.Since(answeredAt)) {
			f.loop.handle(e)
		}
		f.revision = m.Revision
		if m.Changed {
			f.log.Info("fleet intent applied", "revision", m.Revision, "tenants", len(m.ChangedTenants), "age", m.Age)
		}
		if complete {
			f.markSynced()
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

// markSynced notifies the module, once, that the complete intent has been delivered. It runs in the loop.
func (f *fleetClient) markSynced() {
	if !f.synced {
		f.synced = true
		f.loop.handle(policy.FleetSynced{Revision: f.revision})
		f.log.Info("fleet synced", "revision", f.revision, "after", time.Since(f.startedAt))
	}
}

// sendReports sends a report after each interval in which the module observed something, at least once a second
// (maxReportInterval), and after minReportInterval if the last answer requested keys.
func (f *fleetClient) sendReports(ctx context.Context) {
	var wantedKeys []string
	var lastSent time.Time
	windowStart := policy.Time(0) // the start of the windows that were not reported because they were empty; 0 if there are none
	for ctx.Err() == nil {
		wait := f.Report
		if len(wantedKeys) > 0 {
			wait = minReportInterval
		}
		if sleep(ctx, wait); ctx.Err() != nil {
			return
		}
		catchUpExpired := time.Since(f.startedAt) >= f.CatchUp
		o := f.observe(catchUpExpired)
		if o == nil {
			return
		}
		if catchUpExpired {
			f.caughtUpOnce.Do(func() { close(f.caughtUp) })
		}
		if windowStart != 0 {
			o.Window.Start = windowStart
		}
		if o.Idle() && len(wantedKeys) == 0 && time.Since(lastSent) < maxReportInterval && f.notReadyReason() == "" {
			windowStart = o.Window.Start
			continue
		}
		windowStart, lastSent = 0, time.Now()
		answer, err := f.sendReport(ctx, o, wantedKeys, false)
		if wantedKeys = nil; err != nil {
			f.logFault(ctx, "report", err)
			continue
		}
		wantedKeys = answer.WantedKeys
		f.applyAnswer(answer, o.Synced)
	}
}

// applyAnswer applies the control plane's answer on whether the node is to be ready. synced says that the report was made
// after the complete intent had been delivered.
func (f *fleetClient) applyAnswer(a fleet.ReportAnswer, synced bool) {
	if !a.NotReady {
		if f.notReadyUntil.Swap(0) != 0 {
			f.log.Info("fleet: ready again")
		}
		if synced {
			f.caughtUpOnce.Do(func() { close(f.caughtUp) })
		}
		return
	}
	ttl := defaultNotReadyTTL
	if a.LeaseTTLMS > 0 {
		ttl = min(agentclient.DurationFromMillis(a.LeaseTTLMS), maxNotReadyTTL)
	}
	if f.notReadyUntil.Swap(time.Now().Add(ttl).UnixNano()) == 0 {
		f.log.Warn("fleet: taken out of the load balancer", "ttl", ttl)
	}
}

// observe collects the content of a report in one step of the loop. It returns nil once the loop has ended. If
// catchUpExpired is set, the time to catch up has passed, and observe marks the module as synced.
func (f *fleetClient) observe(catchUpExpired bool) *agentclient.Observation {
	done := make(chan *agentclient.Observation, 1)
	posted := f.loop.post(func() {
		if catchUpExpired {
			f.markSynced()
		}
		now := f.loop.now()
		window := f.loop.module.Window(now)
		window.Start = max(window.Start, f.loop.clockBase) // the first window has no start
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

// sendReport sends a report to the agent. No report is sent after one with leaving set.
func (f *fleetClient) sendReport(ctx context.Context, o *agentclient.Observation, wanted []string, leaving bool) (a fleet.ReportAnswer, err error) {
	f.reportLock.Lock()
	defer f.reportLock.Unlock()
	if f.hasLeft {
		return a, nil
	}
	f.sequence++
	r := o.Report(f.member, f.sequence, wanted)
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

// leave sends the last report, which says that this incarnation ends and has stopped using what was leased to it.
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

// call makes one call to the agent. An answer with a status other than 200, or of more than limit bytes, is an error.
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

// logFault counts a call without a usable answer, and logs it at a bounded rate. What the agent delivered before stays in
// force.
func (f *fleetClient) logFault(ctx context.Context, call string, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // the node is stopping
	}
	n, now := f.faults.Add(1), time.Now().UnixNano()
	if last := f.faultLoggedAt.Load(); last != 0 && now-last < int64(faultLogInterval) || !f.faultLoggedAt.CompareAndSwap(last, now) {
		return
	}
	text := err.Error()
	f.log.Warn("no usable answer from the fleet agent", "call", call, "faults", n, "err", text[:min(len(text), maxLoggedErrorBytes)])
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
