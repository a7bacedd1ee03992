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
	Node, Zone string
	Services   []string                                                          // the scope: whose tenants the node serves, sorted; none: every service
	Replicas   []string                                                          // their HTTP addresses
	Dir        string                                                            // of the durable copy
	Dial       func(ctx context.Context, network, addr string) (net.Conn, error) // how replicas are reached; nil: as named
	Log        *slog.Logger
}

// Agent is a running fleet half. Start makes one.
type Agent struct {
	cfg    Config
	client http.Client
	zero   time.Time // of the clock, where the machine has no better
	m      metrics
	own    own
	disk   *disk // of the goroutine that saves

	mu        sync.Mutex
	copy      *Copy
	again     map[string]bool // items to tell the node once more
	counted   bool            // the control plane has counted the node: it may be sent quotas
	session   bool            // a session was answered, at revision need of the leader
	need      uint64          // the node is sent nothing older: others may be two generations on
	saved     uint64          // revision that a restart would have at least
	whole     bool            // the next watch asks for everything
	unread    bool            // a service of the scope has not been read yet: whole is set, and the node is sent everything with it
	rebase    bool            // the next save is of everything
	confirmed fleet.Time      // when a replica held the copy to be the newest it has; only with caughtUp
	caughtUp  bool
	updated   chan struct{} // closed when there is something to send to the node
	dirty     chan struct{} // holds one: the copy is to be saved

	holder  session.AgentLease
	report  *carried      // the node's newest
	reports chan struct{} // holds one: a report is to be carried
	last    fleet.ReportAnswer
	lastAt  fleet.Time         // when the leader last answered
	lost    bool               // no replica took the last report
	fenced  bool               // the node's newest incarnation has a successor elsewhere
	sender  reportdelta.Sender // of the goroutine that carries
	inc     uint64             // the largest incarnation seen, and its largest seq
	seq     uint64
}

// carried is a report on its way to the leader.
type carried struct {
	raw   []byte
	rep   fleet.Report // normalized
	newer bool         // it has members that this build does not know, which no difference would have
	at    fleet.Time
	done  chan struct{} // closed once the leader has answered it, or it has a successor
	once  sync.Once
}

func (c *carried) end() { c.once.Do(func() { close(c.done) }) }

type metrics struct {
	dropped, refused, badReports, saveErrors, written, renewals prometheus.Counter
	revision                                                    prometheus.Gauge
	own                                                         *prometheus.GaugeVec
	ownChanges                                                  *prometheus.CounterVec
	sent, sentBytes                                             *prometheus.CounterVec // reports, by kind
	wishes                                                      prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	m := metrics{dropped: counter("fleet_agent_answers_dropped_total", "Answers of replicas that failed, were malformed or older than what the agent has."),
		refused:    counter("fleet_agent_copies_refused_total", "Durable copies found damaged or not this node's."),
		badReports: counter("fleet_agent_reports_refused_total", "Reports of the node that were malformed, too large or of an older incarnation."),
		saveErrors: counter("fleet_agent_save_errors_total", "Times the durable copy could not be written."),
		written:    counter("fleet_agent_copy_bytes_total", "Bytes written to the durable copy."),
		wishes:     counter("fleet_agent_differences_refused_total", "Differences that a replica did not take: the whole report followed."),
		renewals:   counter("fleet_agent_renewals_total", "Reports that the leader answered with a lease."),
		revision:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "fleet_agent_revision", Help: "Newest revision of the intent that the agent has."})}
	m.own = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "fleet_agent_drift", Help: "1 at the state that the agent itself finds its node in."}, []string{"state"})
	m.ownChanges = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_drift_verdicts_total", Help: "Times the agent came to find its node in a state."}, []string{"state"})
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_reports_sent_total", Help: "Tries to send a report, by kind: whole, difference."}, []string{"kind"})
	m.sentBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "fleet_agent_report_bytes_total", Help: "Bytes of the bodies of those tries, by kind."}, []string{"kind"})
	reg.MustRegister(m.revision, m.own, m.ownChanges, m.sent, m.sentBytes)
	return m
}

// Start reads the durable copy and follows the replicas until ctx ends. A copy that is damaged is refused, counted
// and said; the agent starts without one.
func Start(ctx context.Context, cfg Config, reg prometheus.Registerer) (*Agent, error) {
	a, err := newAgent(cfg, reg)
	if err != nil {
		return nil, err
	}
	a.cfg.Log.Info("fleet agent starts", "revision", a.copy.Revision, "services", cfg.Services)
	go a.watch(ctx)
	go a.carry(ctx)
	go a.save(ctx)
	go a.judgeOwn(ctx)
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
	a := &Agent{cfg: cfg, zero: time.Now(), m: newMetrics(reg), again: map[string]bool{}, updated: make(chan struct{}),
		dirty: make(chan struct{}, 1), reports: make(chan struct{}, 1)}
	a.own.judge = drift.NewLocalDetector(drift.Defaults())
	a.client.Transport = &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	a.cfg.Log = cfg.Log.With("node", cfg.Node, "zone", cfg.Zone)
	a.openCopy()
	a.m.revision.Set(float64(a.copy.Revision))
	return a, nil
}

// now reads the agent's clock: monotonic, and going on while the machine sleeps, as a session does at the leader.
func (a *Agent) now() fleet.Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(a.zero)
	}
	return fleet.Time(ts.Nano())
}

// wake tells the node's watch that there is something new; the caller holds mu.
func (a *Agent) wake() {
	close(a.updated)
	a.updated = make(chan struct{})
}

// take brings in a replica's answer that confirms the intent as of confirmed.
func (a *Agent) take(in fleet.Intent, confirmed fleet.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.copy.Revision
	changed, err := a.copy.Take(in)
	if err != nil {
		return err
	}
	if !a.caughtUp || confirmed > a.confirmed {
		a.confirmed = confirmed
	}
	if in.Full {
		a.tookWhole(changed, before)
	}
	if changed {
		a.m.revision.Set(float64(a.copy.Revision))
		notify(a.dirty)
	}
	if a.session {
		a.count()
	}
	if changed && (in.Full || len(in.Items) > 0) || !a.caughtUp { // of a higher revision alone the node hears at its next call
		a.wake()
	}
	if !a.caughtUp {
		a.caughtUp = true
		a.cfg.Log.Info("caught up with a replica", "revision", a.copy.Revision)
	}
	return nil
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// count notes that the node has been counted, and has it sent what is intended, once the copy is as new as the leader's
// state was then. The caller holds mu.
func (a *Agent) count() {
	if !a.counted && a.copy.Revision >= a.need {
		a.counted = true
		notify(a.dirty)
		a.wake()
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// retries is the wait between tries at replicas: 50 ms doubling to 2 s, half of it by chance.
func retries() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.Multiplier, b.RandomizationFactor, b.MaxInterval = 50*time.Millisecond, 2, 0.5, 2*time.Second
	b.Reset()
	return b
}

// anyReplica is where a loop starts, so that agents are spread over the replicas.
func (a *Agent) anyReplica() int { return rand.IntN(len(a.cfg.Replicas)) }
