package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
	fleetagent "meadowsill/internal/fleet/agent"
	"meadowsill/internal/fleet/agentclient"
	listagent "meadowsill/internal/registry/agent"
	"meadowsill/policy"
)

// Times of a node, as package node has them.
const (
	intentTimeout     = time.Second
	intentPause       = 50 * time.Millisecond
	listTimeout       = 3 * time.Second
	reportInterval    = 250 * time.Millisecond
	wantedReportDelay = 50 * time.Millisecond // where the answer wants more
	maxReportInterval = time.Second           // between reports where nothing was seen
	reportTimeout     = time.Second
	leaveTimeout      = 500 * time.Millisecond
	catchUpTimeout    = 10 * time.Second
	leavePause        = 100 * time.Millisecond // for the agent to carry the last report
	callSlack         = time.Second
	failedCallPause   = time.Second
)

// node is one run of a hollow node's process, with the agent beside it.
type node struct {
	cfg         *Config
	fleet       *fleetState
	number      int
	services    []string
	log         *slog.Logger
	member      fleet.Member
	startedAt   time.Time
	connections *connections
	metrics     *prometheus.Registry
	agent       http.Handler // of the intent and the reports
	list        http.Handler
	stop        context.CancelFunc
	stopReports context.CancelFunc
	loops       sync.WaitGroup
	reporting   sync.WaitGroup

	sequence uint64 // of the last report; the report loop's, then leave's

	mu          sync.Mutex
	module      *module
	mirror      *agentclient.IntentMirror // changed by the intent loop alone
	revision    uint64                    // that the module has whole
	items       int                       // of the mirror
	synced      bool
	sessionHeld bool // the newest answer said that the session is held
	notReady    bool // the newest answer to a report said so
	version     uint64
	ready       map[policy.ServerID]bool
	serving     map[string]served   // by tenant
	applied     []fleet.AppliedItem // that the module holds; nil: to be read anew
}

// served says by which generation a node serves a tenant, 0 for none, and since when.
type served struct {
	generation uint64
	since      time.Time
}

// startNode starts a run of the node of a number. It ends with ctx, or by kill or leave.
func startNode(ctx context.Context, cfg *Config, state *fleetState, number int, log *slog.Logger) (*node, error) {
	ctx, stop := context.WithCancel(ctx)
	now := time.Now()
	n := &node{
		cfg:         cfg,
		fleet:       state,
		number:      number,
		services:    scope(cfg, number),
		startedAt:   now,
		stop:        stop,
		member:      fleet.Member{Node: NodeName(number), Zone: cfg.nodeZone(number), Incarnation: uint64(now.UnixNano())},
		metrics:     prometheus.NewRegistry(),
		connections: state.sockets.connections(),
		ready:       map[policy.ServerID]bool{},
		serving:     map[string]served{},
	}
	n.log = log.With("node", n.member.Node, "incarnation", n.member.Incarnation)
	n.module = newModule(cfg, number, n.member.Incarnation)
	n.mirror = agentclient.NewIntentMirror(n.member)
	if err := n.startAgent(ctx, log); err != nil {
		n.kill()
		return nil, err
	}
	n.loops.Go(func() { n.watchIntent(ctx) })
	n.loops.Go(func() { n.watchList(ctx) })
	reportsCtx, stopReports := context.WithCancel(ctx)
	n.stopReports = stopReports
	n.reporting.Go(func() { n.reportLoop(reportsCtx) })
	return n, nil
}

// startAgent starts the two halves of the node's agent, as the command discovery agent does.
func (n *node) startAgent(ctx context.Context, log *slog.Logger) error {
	intentAgent, err := fleetagent.Start(ctx, fleetagent.Config{
		Node:     n.member.Node,
		Zone:     n.member.Zone,
		Services: n.services,
		Replicas: n.cfg.Replicas,
		Dir:      filepath.Join(n.cfg.Dir, n.member.Node),
		Dial:     n.connections.dial,
		Log:      log,
	}, n.metrics)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	intentAgent.Routes(mux)
	n.agent = mux
	list := listagent.New(n.cfg.Replicas, log)
	list.Dial(n.connections.dial)
	n.list = list
	go list.Watch(ctx)
	return nil
}

// copyBytes is what the run's agent says it has written to its durable copy; 0 of a build whose agent doesn't count it.
func (n *node) copyBytes() uint64 {
	families, err := n.metrics.Gather()
	if err != nil {
		return 0
	}
	for _, family := range families {
		if family.GetName() == "fleet_agent_copy_bytes_total" && len(family.GetMetric()) > 0 {
			return uint64(family.GetMetric()[0].GetCounter().GetValue())
		}
	}
	return 0
}

// kill ends the run at once, and its agent's connections.
func (n *node) kill() {
	n.stop()
	n.connections.close()
	n.loops.Wait()
	n.fleet.copyBytes.Add(n.copyBytes())
	n.reporting.Wait()
}

// leave has the run say goodbye, as a drained node does, and ends it.
func (n *node) leave() {
	n.stopReports()
	n.reporting.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := n.report(ctx, n.observe(), nil, true); err != nil {
		n.log.Warn("the last report is not answered", "err", err)
	}
	pause(ctx, leavePause)
	n.kill()
}

// reports sends them: at every turn while something is seen, at least each second, and at once where the answer wants more.
func (n *node) reportLoop(ctx context.Context) {
	pause(ctx, rand.N(reportInterval))
	var wantedKeys []string
	var lastReport time.Time
	idleSince := policy.Time(0) // of the windows with nothing in them
	for ctx.Err() == nil {
		wait := reportInterval
		if len(wantedKeys) > 0 {
			wait = wantedReportDelay
		}
		if pause(ctx, wait); ctx.Err() != nil {
			return
		}
		observed := n.observe()
		if idleSince != 0 {
			observed.Window.Start = idleSince
		}
		if observed.Idle() && len(wantedKeys) == 0 && time.Since(lastReport) < maxReportInterval && n.isReady() {
			idleSince = observed.Window.Start
			continue
		}
		idleSince, lastReport = 0, time.Now()
		answer, err := n.report(ctx, observed, wantedKeys, false)
		if wantedKeys = nil; err != nil {
			n.recordFailure(ctx, "report", err)
			continue
		}
		wantedKeys = answer.WantedKeys
		n.mu.Lock()
		n.notReady = answer.NotReady
		n.mu.Unlock()
	}
}

// observe reads what a report is made of. What the module holds changes only by news of the intent and of the list: it is read,
// and digested, after these alone, where a real node does both for each report.
func (n *node) observe() *agentclient.Observation {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.startedAt) >= catchUpTimeout {
		n.markSynced()
	}
	now := n.module.advance()
	window := n.module.Window(now)
	window.Start = max(window.Start, n.module.base)
	if n.applied == nil {
		n.applied = agentclient.AppliedItems(n.module.Applied(), n.startedAt)
	}
	return &agentclient.Observation{
		Window:        window,
		Applied:       n.applied,
		Now:           now,
		Revision:      n.revision,
		ListVersion:   n.version,
		Ready:         len(n.ready) > 0,
		Synced:        n.synced,
		SettingsSince: n.startedAt,
	}
}

// report posts a report. One that leaves is the last.
func (n *node) report(ctx context.Context, observed *agentclient.Observation, wantedKeys []string, leaving bool) (answer fleet.ReportAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	n.sequence++
	r := observed.Report(n.member, n.sequence, wantedKeys)
	r.Services = n.services
	if leaving {
		r.Draining, r.Ready = true, false
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return answer, err
	}
	if len(raw) > fleet.MaxReportBytes {
		return answer, fmt.Errorf("a report of %d bytes, at most %d", len(raw), fleet.MaxReportBytes)
	}
	raw, err = call(ctx, n.agent, http.MethodPost, "/fleet/v1/report", raw)
	if err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	return answer, err
}

// isReady says whether the node has caught up and is counted in.
func (n *node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.synced && n.sessionHeld && !n.notReady
}

// fault counts and logs a call that gave nothing usable, unless the run ends.
func (n *node) recordFailure(ctx context.Context, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.fleet.sockets.failures.Add(1)
	n.log.Debug("the agent gives nothing usable", "call", kind, "err", err)
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
