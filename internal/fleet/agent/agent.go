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

// Config places an agent.
type Config struct {
	Node     string
	Zone     string
	Services []string                                                          // the scope: whose tenants the node serves, sorted; none: every service
	Replicas []string                                                          // their HTTP addresses
	Dir      string                                                            // of the durable copy
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error) // how replicas are reached; nil: as named
	Log      *slog.Logger
}

// Agent is a running fleet half. Start makes one.
type Agent struct {
	cfg        Config
	client     http.Client
	clockStart time.Time // of the clock, where the machine has no better
	metrics    metrics
	ownDrift   ownDrift
	copyFile   *copyFile // of the goroutine that saves

	mu            sync.Mutex // guards the fields below, but for sender
	copy          *IntentCopy
	resendKeys    map[string]bool // items to send to the node again
	joined        bool            // the control plane has counted the node: it may be sent quotas
	hasSession    bool            // a session was answered, at minRevision of the leader
	minRevision   uint64          // the node is sent nothing older: others may be two generations on
	savedRevision uint64          // revision that a restart would have at least
	fetchAll      bool            // the next watch requests everything
	scopeUnread   bool            // a service of the scope has not been read yet: fetchAll is set, and the node is sent everything with it
	saveAll       bool            // the next save is of everything
	confirmedAt   fleet.Time      // when a replica held the copy to be the newest it has; only with caughtUp
	caughtUp      bool
	updated       chan struct{} // closed when there is something to send to the node
	dirty         chan struct{} // holds one: the copy is to be saved

	lease        session.AgentLease
	report       *pendingReport // the node's newest
	reports      chan struct{}  // holds one: a report is to be carried
	lastAnswer   fleet.ReportAnswer
	lastAnswerAt fleet.Time         // when the leader last answered
	reportsLost  bool               // no replica took the last report
	fenced       bool               // the node's newest incarnation has a successor elsewhere
	sender       reportdelta.Sender // of the goroutine that carries
	incarnation  uint64             // the largest incarnation seen, and its largest sequence
	sequence     uint64
}

// pendingReport is a report on its way to the leader.
type pendingReport struct {
	raw               []byte
	report            fleet.Report // normalized
	hasUnknownMembers bool         // it has members that this build does not know, which no difference would have
	receivedAt        fleet.Time
	done              chan struct{} // closed once the leader has answered it, or it has a successor
	once              sync.Once
}

func (c *pendingReport) finish() { c.once.Do(func() { close(c.done) }) }

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
	// reports, by kind
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

// Start reads the durable copy and follows the replicas until ctx ends. A copy that is damaged is rejected, counted
// and said; the agent starts without one.
func Start(ctx context.Context, cfg Config, reg prometheus.Registerer) (*Agent, error) {
	a, err := newAgent(cfg, reg)
	if err != nil {
		return nil, err
	}
	a.cfg.Log.Info("fleet agent starts", "revision", a.copy.Revision, "services", cfg.Services)
	go a.watch(ctx)
	go a.forwardReports(ctx)
	go a.save(ctx)
	go a.checkOwnDrift(ctx)
	return a, nil
}

// newAgent makes an agent that has its copy and follows nobody yet.
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

// now reads the agent's clock: monotonic, and going on while the machine sleeps, as a session does at the leader.
func (a *Agent) now() fleet.Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(a.clockStart)
	}
	return fleet.Time(ts.Nano())
}

// notifyNode tells the node's watch that there is something new; the caller holds mu.
func (a *Agent) notifyNode() {
	close(a.updated)
	a.updated = make(chan struct{})
}

// applyIntent brings in a replica's answer that confirms the intent as of confirmed.
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
		a.appliedComplete(changed, before)
	}
	if changed {
		a.metrics.revision.Set(float64(a.copy.Revision))
		signal(a.dirty)
	}
	if a.hasSession {
		a.markJoined()
	}
	if changed && (in.Full || len(in.Items) > 0) || !a.caughtUp { // of a higher revision alone the node hears at its next call
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

// markJoined notes that the node has been counted, and has it sent what is intended, once the copy is as new as the leader's
// state was then. The caller holds mu.
func (a *Agent) markJoined() {
	if !a.joined && a.copy.Revision >= a.minRevision {
		a.joined = true
		signal(a.dirty)
		a.notifyNode()
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newRetryBackoff is the wait between attempts at replicas: 50 ms doubling to 2 s, half of it by chance.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.Multiplier = 2
	b.RandomizationFactor = 0.5
	b.MaxInterval = 2 * time.Second
	b.Reset()
	return b
}

// randomReplica is where a loop starts, so that agents are spread over the replicas.
func (a *Agent) randomReplica() int { return rand.IntN(len(a.cfg.Replicas)) }
