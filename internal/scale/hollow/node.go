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

// Timeouts and intervals of a node, the same as those of package node.
const (
	intentTimeout     = time.Second
	intentPause       = 50 * time.Millisecond
	listTimeout       = 3 * time.Second
	reportInterval    = 250 * time.Millisecond
	wantedReportDelay = 50 * time.Millisecond // before the next report if the answer asks for more keys
	maxReportInterval = time.Second           // between reports while the node observes no traffic
	reportTimeout     = time.Second
	leaveTimeout      = 500 * time.Millisecond
	catchUpTimeout    = 10 * time.Second
	leavePause        = 100 * time.Millisecond // leaves the agent time to send the last report
	callSlack         = time.Second
	failedCallPause   = time.Second
)

// node is one incarnation of a hollow node, together with its agent.
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
	agent       http.Handler // serves the intent and takes the reports
	list        http.Handler
	stop        context.CancelFunc
	stopReports context.CancelFunc
	loops       sync.WaitGroup
	reporting   sync.WaitGroup

	sequence uint64 // sequence number of the last report; owned by the report loop, and by leave after the loop has ended

	mu          sync.Mutex
	module      *module
	mirror      *agentclient.IntentMirror // only the intent loop changes it
	revision    uint64                    // newest revision that the module has completely
	items       int                       // number of items in the mirror
	synced      bool
	sessionHeld bool // the newest answer to a watch of the intent says that the session is held
	notReady    bool // the newest answer to a report says that the node is not ready
	version     uint64
	ready       map[policy.ServerID]bool
	serving     map[string]served   // keyed by tenant
	applied     []fleet.AppliedItem // items that the module holds; nil: they have to be read again
}

// served is the generation by which a node serves a tenant (0: it does not serve the tenant), and the time since when.
type served struct {
	generation uint64
	since      time.Time
}

// startNode starts a new incarnation of the node with the given number. It runs until ctx ends or until kill or leave is called.
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

// startAgent starts both parts of the node's agent, for the intent and for the endpoint list, as the discovery agent command does.
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

// copyBytes returns how many bytes the agent has written to its durable copy, by the agent's metric. It is 0 in a build whose agent
// doesn't have this metric.
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

// kill stops the node at once and closes its agent's connections.
func (n *node) kill() {
	n.stop()
	n.connections.close()
	n.loops.Wait()
	n.fleet.copyBytes.Add(n.copyBytes())
	n.reporting.Wait()
}

// leave sends a last report that the node is draining, as a drained node does, and then stops the node.
func (n *node) leave() {
	n.stopReports()
	n.reporting.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := n.report(ctx, n.observe(), nil, true); err != nil {
		n.log.Warn("last report was not answered", "err", err)
	}
	pause(ctx, leavePause)
	n.kill()
}

// reportLoop sends reports until ctx ends: one per reportInterval while there is traffic or the node is not ready, at least one per
// maxReportInterval otherwise, and one after wantedReportDelay if the last answer asks for more keys.
func (n *node) reportLoop(ctx context.Context) {
	pause(ctx, rand.N(reportInterval))
	var wantedKeys []string
	var lastReport time.Time
	idleSince := policy.Time(0) // start of the first window without traffic since the last report; 0: there is none
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

// observe collects the contents of a report. What the module holds changes only with the intent and the list. Therefore it is read
// and its digests are computed only after such a change, while a real node does both for each report.
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

// report posts a report to the agent and returns the answer. leaving marks the last report of a node that leaves.
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
		return answer, fmt.Errorf("report has %d bytes, the limit is %d", len(raw), fleet.MaxReportBytes)
	}
	raw, err = call(ctx, n.agent, http.MethodPost, "/fleet/v1/report", raw)
	if err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	return answer, err
}

// isReady reports whether the node has caught up, holds its session and is not taken out of the load balancer.
func (n *node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.synced && n.sessionHeld && !n.notReady
}

// recordFailure counts and logs a failed call to the agent, unless the node is being stopped.
func (n *node) recordFailure(ctx context.Context, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.fleet.sockets.failures.Add(1)
	n.log.Debug("call to the agent failed", "call", kind, "err", err)
}

// pause waits for the duration d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
