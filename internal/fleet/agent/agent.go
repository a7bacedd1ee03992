package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/fleet/session"
)

// Config holds an agent's settings: the node it belongs to, the replicas it talks to and the directory of its durable copy.
type Config struct {
	Node     string
	Zone     string
	Services []string                                                          // the scope: services whose tenants the node holds, sorted; empty: all
	Replicas []string                                                          // HTTP addresses of the control plane's replicas
	Dir      string                                                            // directory of the durable copy
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error) // connects to a replica; nil: the default dialer
	Log      *slog.Logger
}

// Agent is the fleet part of the agent beside a node. Start creates one.
type Agent struct {
	cfg        Config
	client     http.Client
	clockStart time.Time // reference of the fallback clock, where the machine has no CLOCK_BOOTTIME
	metrics    metrics
	ownDrift   ownDrift
	copyFile   *copyFile // used by the saving goroutine only

	mu              sync.Mutex // guards the fields below, except sender
	copy            *IntentCopy
	resendKeys      map[string]bool // keys of items to send to the node again, whatever their revision
	joined          bool            // the control plane has counted the node, so the node may be sent quotas
	hasSession      bool            // the leader has answered with a lease; minRevision is the leader's revision in the first such answer
	minRevision     uint64          // the node is sent nothing older than this: other nodes may already be two generations further
	savedRevision   uint64          // the agent has at least this revision after a restart
	fetchAll        bool            // the next watch call requests every item
	scopeIncomplete bool            // a service of the scope has not been read yet: fetchAll is set; after that read the node is sent every item
	saveAll         bool            // the next save writes every item
	confirmedAt     fleet.Time      // when a replica last confirmed that the copy is the newest revision it has; valid only with caughtUp
	caughtUp        bool
	updated         chan struct{} // closed when there is something to send to the node
	dirty           chan struct{} // buffers one signal: the copy needs to be saved

	lease        session.AgentLease
	report       *pendingReport // the node's newest report
	reports      chan struct{}  // buffers one signal: a report needs to be forwarded
	lastAnswer   fleet.ReportAnswer
	lastAnswerAt fleet.Time         // when the leader last answered
	reportsLost  bool               // no replica accepted the last report
	fenced       bool               // the node's newest incarnation has a successor elsewhere
	sender       reportdelta.Sender // used by the forwarding goroutine only
	incarnation  uint64             // the largest incarnation seen; sequence is its largest sequence number
	sequence     uint64
}

// pendingReport is a report that the agent forwards to the leader.
type pendingReport struct {
	raw               []byte
	report            fleet.Report // normalized
	hasUnknownMembers bool         // it has members that this build does not know, which a delta would drop
	receivedAt        fleet.Time
	done              chan struct{} // closed once the leader has answered the report or a newer report has replaced it
	once              sync.Once
}

func (p *pendingReport) finish() { p.once.Do(func() { close(p.done) }) }

type metrics struct {
	answersDropped  prometheus.Counter
	copiesRejected  prometheus.Counter
	reportsRejected prometheus.Counter
	saveErrors      prometheus.Counter
	bytesWritten    prometheus.Counter
	renewals        prometheus.Counter
	revision        prometheus.Gauge
	driftState      *prometheus.GaugeVec
	driftVerdicts   *prometheus.CounterVec
	// Counters of sent reports, labeled by kind.
	sent           *prometheus.CounterVec
	sentBytes      *prometheus.CounterVec
	deltasRejected prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	m := metrics{answersDropped: counter("fleet_agent_answers_dropped_total", "Answers of replicas that failed, were malformed or older than what the agent has."),
		copiesRejected:  counter("fleet_agent_copies_refused_total", "Durable copies found damaged or not this node's."),
		reportsRejected: counter("fleet_agent_reports_refused_total", "Reports of the node that were malformed, too large or of an older incarnation."),
		saveErrors:      counter("fleet_agent_save_errors_total", "Times the durable copy could not be written."),
		bytesWritten:    counter("fleet_agent_copy_bytes_total", "Bytes written to the durable copy."),
		deltasRejected:  counter("fleet_agent_differences_refused_total", "Differences that a replica did not take: the whole report followed."),
		renewals:        counter("fleet_agent_renewals_total", "Reports that the leader answered with a lease."),
		revision:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "fleet_agent_revision", Help: "Newest revision of the intent that the agent has."})}
	m.driftState = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "fleet_agent_drift", Help: "1 at the state that the agent itself finds its node in."}, []string{"state"})
	m.driftVerdicts = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_drift_verdicts_total", Help: "Times the agent came to find its node in a state."}, []string{"state"})
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_reports_sent_total", Help: "Tries to send a report, by kind: whole, difference."}, []string{"kind"})
	m.sentBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_report_bytes_total", Help: "Bytes of the bodies of those tries, by kind."}, []string{"kind"})
	reg.MustRegister(m.revision, m.driftState, m.driftVerdicts, m.sent, m.sentBytes)
	return m
}

// Start reads the durable copy and follows the replicas until ctx ends. It rejects, counts and logs a damaged copy and
// then starts without one.
func Start(ctx context.Context, cfg Config, reg prometheus.Registerer) (*Agent, error) {
	a, err := newAgent(cfg, reg)
	if err != nil {
		return nil, err
	}
	a.cfg.Log.Info("fleet agent started", "revision", a.copy.Revision, "services", cfg.Services)
	go a.watch(ctx)
	go a.forwardReports(ctx)
	go a.save(ctx)
	go a.checkOwnDrift(ctx)
	return a, nil
}

// newAgent creates an agent that has read its durable copy and follows no replica yet.
func newAgent(cfg Config, reg prometheus.Registerer) (*Agent, error) {
	if err := fleet.ValidScope(cfg.Services); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:        cfg,
		clockStart: time.Now(),
		metrics:    newMetrics(reg),
		resendKeys: map[string]bool{},
		updated:    make(chan struct{}),
		dirty:      make(chan struct{}, 1),
		reports:    make(chan struct{}, 1),
	}
	a.ownDrift.detector = drift.NewLocalDetector(drift.Defaults())
	a.client.Transport = &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	a.cfg.Log = cfg.Log.With("node", cfg.Node, "zone", cfg.Zone)
	a.openCopy()
	a.metrics.revision.Set(float64(a.copy.Revision))
	return a, nil
}

// now reads the agent's clock. It is monotonic and keeps running while the machine is suspended, because the session's lease at
// the leader keeps running too.
func (a *Agent) now() fleet.Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(a.clockStart)
	}
	return fleet.Time(ts.Nano())
}

// notifyNode wakes the node's watch because there is something new to send. The caller holds mu.
func (a *Agent) notifyNode() {
	close(a.updated)
	a.updated = make(chan struct{})
}

// applyIntent applies a replica's answer to the copy. The answer confirms the intent as of the time confirmed.
func (a *Agent) applyIntent(in fleet.Intent, confirmed fleet.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.copy.Revision
	changed, err := a.copy.Apply(in)
	if err != nil {
		return err
	}
	if !a.caughtUp || confirmed > a.confirmedAt {
		a.confirmedAt = confirmed
	}
	if in.Full {
		a.markCompleteApplied(changed, before)
	}
	if changed {
		a.metrics.revision.Set(float64(a.copy.Revision))
		signal(a.dirty)
	}
	if a.hasSession {
		a.markJoined()
	}
	if changed && (in.Full || len(in.Items) > 0) || !a.caughtUp { // the node learns of a higher revision without items at its next call
		a.notifyNode()
	}
	if !a.caughtUp {
		a.caughtUp = true
		a.cfg.Log.Info("caught up with a replica", "revision", a.copy.Revision)
	}
	return nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// markJoined records that the control plane has counted the node, once the copy is as new as the leader's state was at that time.
// From then on the node is sent the intent. The caller holds mu.
func (a *Agent) markJoined() {
	if !a.joined && a.copy.Revision >= a.minRevision {
		a.joined = true
		signal(a.dirty)
		a.notifyNode()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newRetryBackoff returns the backoff between attempts at replicas: it doubles from 50 ms up to 2 s, and each wait
// is randomized by up to half of it.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.MaxInterval = 2 * time.Second
	b.Reset()
	return b
}

// randomReplica returns the index of the replica at which a loop starts. It is random, to spread the agents over the replicas.
func (a *Agent) randomReplica() int { return rand.IntN(len(a.cfg.Replicas)) }
