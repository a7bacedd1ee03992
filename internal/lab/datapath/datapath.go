// Package datapath measures the time that a real node adds to a request. One node process runs in front of one stub app server,
// with a list of any size in which every entry is that server. Requests go alternately through the node and to the server directly.
package datapath

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowsill/internal/lab/stub"
)

//go:embed settings.json
var settings []byte

// Plan describes one measurement.
type Plan struct {
	Binary       string        `json:"binary"`         // the node program
	Dir          string        `json:"-"`              // for the node's log and configuration
	Nodes        int           `json:"nodes"`          // fleet size that the node is configured for; its subset and its part of quotas depend on it
	Servers      int           `json:"servers"`        // entries of the list
	ChangesPerS  float64       `json:"changes_per_s"`  // changes of the list: an entry drains, and is ready again at the next change
	RequestsPerS float64       `json:"requests_per_s"` // through the node; as many go to the server directly
	Latency      time.Duration `json:"latency"`        // of the app server's work, ns
	Warm         time.Duration `json:"warm"`           // time before the measurement whose requests are not counted, ns
	Measure      time.Duration `json:"measure"`        // duration of the measurement, ns
	Seed         uint64        `json:"seed"`
}

// Limits of a plan: a load loop must end by itself and must not overload the machine.
const (
	MaxNodes        = 10_000
	MaxServers      = 100_000
	MaxRequestsPerS = 2000
	MaxMeasure      = 10 * time.Minute
)

// Check returns an error of one line that names a value of the plan that is out of range.
func (p Plan) Check() error {
	switch {
	case p.Servers < 1 || p.Servers > MaxServers:
		return fmt.Errorf("servers: %d, must be 1 to %d", p.Servers, MaxServers)
	case p.Nodes < 1 || p.Nodes > MaxNodes:
		return fmt.Errorf("nodes: %d, must be 1 to %d", p.Nodes, MaxNodes)
	case !(p.RequestsPerS > 0 && p.RequestsPerS <= MaxRequestsPerS):
		return fmt.Errorf("requests: %g, must be above 0 and at most %d", p.RequestsPerS, MaxRequestsPerS)
	case !(p.ChangesPerS >= 0 && p.ChangesPerS <= 100):
		return fmt.Errorf("changes: %g, must be 0 to 100", p.ChangesPerS)
	case p.Measure <= 0 || p.Measure > MaxMeasure || p.Warm < 0 || p.Warm > MaxMeasure:
		return fmt.Errorf("measure, warm: %v, %v, must be above 0 and at most %v", p.Measure, p.Warm, MaxMeasure)
	case p.Latency < 0 || p.Latency > time.Second:
		return fmt.Errorf("latency: %v, must be 0 to 1s", p.Latency)
	}
	return nil
}

// Times are percentiles of the times that complete requests took, in ms.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Result is what a measurement found. Added is the difference between the percentiles of Node and those of Direct.
type Result struct {
	Plan    Plan    `json:"plan"`
	Direct  Times   `json:"direct"`
	Node    Times   `json:"node"`
	Added   Times   `json:"added"`
	Failed  int64   `json:"failed"`  // requests through the node that were not answered with 200
	Lost    int64   `json:"lost"`    // direct requests that were not answered with 200
	Changes int     `json:"changes"` // of the list during the measurement
	CPU     float64 `json:"cpu_s"`   // CPU time of the node over its whole run
}

const (
	class         = "schedule-view"
	account       = "one"
	zone          = "a"
	readyWithin   = 30 * time.Second
	endWithin     = 5 * time.Second
	resolutionNS  = int64(time.Microsecond)
	maxRecordedNS = int64(10 * time.Second)
)

// measurement is a measurement in progress.
type measurement struct {
	plan     Plan
	rec      *stub.Recorder
	server   *stub.AppServer
	list     *stub.Discovery
	listen   string
	node     *exec.Cmd
	client   *http.Client
	requests atomic.Int64
}

// Measure carries out a plan. It ends everything that it started, also after an error.
func Measure(ctx context.Context, plan Plan) (result Result, err error) {
	if err := plan.Check(); err != nil {
		return Result{}, err
	}
	m := &measurement{plan: plan, rec: stub.NewRecorder()}
	defer func() { result.CPU = m.close() }()
	if err := m.start(ctx); err != nil {
		return Result{}, err
	}
	m.load(ctx, plan.Warm, nil, nil)
	direct, node := newSeries(), newSeries()
	changeCtx, stop := context.WithCancel(ctx)
	changed := make(chan int)
	go func() { changed <- m.change(changeCtx) }()
	m.load(ctx, plan.Measure, direct, node)
	stop()
	result = Result{Plan: plan, Direct: direct.times(), Node: node.times(), Failed: node.failed, Lost: direct.failed, Changes: <-changed}
	result.Added = Times{P50: result.Node.P50 - result.Direct.P50, P99: result.Node.P99 - result.Direct.P99,
		P999: result.Node.P999 - result.Direct.P999, Max: result.Node.Max - result.Direct.Max}
	return result, ctx.Err()
}

// start starts the app server, the list and the node, and waits until the node is ready.
func (m *measurement) start(ctx context.Context) error {
	spec := stub.ServerSpec{ID: "s-0", Zone: zone, Capacity: 256, Latency: m.plan.Latency, IdleClose: time.Minute}
	var err error
	if m.server, err = stub.NewAppServer(spec, "127.0.0.1:0", func(string) int { return 0 }, m.rec, m.plan.Seed); err != nil {
		return err
	}
	entries := make([]stub.Entry, m.plan.Servers)
	for i := range entries {
		entries[i] = stub.Entry{ID: entryID(i), Zone: zone, Kind: "std", State: "ready", Weight: 1, StartedMS: 1}
	}
	m.list = stub.NewDiscovery(entries)
	discovery, err := m.list.View(func(string) string { return m.server.Addr })
	if err != nil {
		return err
	}
	if m.listen, err = freeAddress(); err != nil {
		return err
	}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: endWithin}
	if err := m.launch(discovery); err != nil {
		return err
	}
	return m.ready(ctx)
}

func entryID(i int) string { return fmt.Sprintf("s-%06d", i) }

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// config is the node's configuration file.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

type limits struct {
	Sockets  int `json:"sockets"`
	MemoryMB int `json:"memory_mb"`
}

// settings returns the embedded settings with the planned number of nodes.
func (m *measurement) settings() (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(settings, &fields); err != nil {
		return nil, err
	}
	fields["balancers"] = json.RawMessage(strconv.Itoa(m.plan.Nodes))
	return json.Marshal(fields)
}

func (m *measurement) launch(discovery string) error {
	nodeSettings, err := m.settings()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(config{
		Name:      "n0",
		Listen:    m.listen,
		Discovery: discovery,
		Seed:      strconv.FormatUint(m.plan.Seed, 16),
		Limits:    limits{Sockets: 1024, MemoryMB: 256},
		Settings:  nodeSettings,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(m.plan.Dir, "config.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.plan.Dir, "node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	node := exec.Command(m.plan.Binary)
	node.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+m.plan.Dir)
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	m.node = node
	return nil
}

func (m *measurement) ready(ctx context.Context) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		resp, err := m.client.Get("http://" + m.listen + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node was not ready within " + readyWithin.String())
}

// close ends the node, by its own pid, and the stubs. It returns the node's CPU time in seconds.
func (m *measurement) close() (cpu float64) {
	if m.node != nil {
		m.node.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(endWithin, func() { m.node.Process.Kill() })
		m.node.Wait()
		kill.Stop()
		cpu = (m.node.ProcessState.UserTime() + m.node.ProcessState.SystemTime()).Seconds()
	}
	if m.list != nil {
		m.list.Close()
	}
	if m.server != nil {
		m.server.Stop()
	}
	return cpu
}

// change lets a random entry of the list drain and makes it ready again, at the planned rate of changes, until ctx ends. It
// returns the number of changes.
func (m *measurement) change(ctx context.Context) (changes int) {
	if m.plan.ChangesPerS == 0 {
		<-ctx.Done()
		return 0
	}
	rnd := rand.New(rand.NewPCG(m.plan.Seed, 1))
	every := time.Duration(float64(time.Second) / m.plan.ChangesPerS)
	drained := ""
	for stub.Sleep(ctx, every) {
		if drained == "" {
			drained = entryID(rnd.IntN(m.plan.Servers))
			m.list.Set(drained, "draining", 0)
		} else {
			m.list.Set(drained, "ready", 0)
			drained = ""
		}
		changes++
	}
	return changes
}

// load sends requests at the planned rate for d: in each period one through the node and one directly, half a period apart. It
// waits for their answers. If the series are nil, nothing is recorded.
func (m *measurement) load(ctx context.Context, d time.Duration, direct, node *series) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	halfPeriod := time.Duration(float64(time.Second) / m.plan.RequestsPerS / 2)
	begin := time.Now()
	for i := 0; time.Duration(i)*halfPeriod < d; i++ {
		if !stub.Sleep(ctx, time.Until(begin.Add(time.Duration(i)*halfPeriod))) && ctx.Err() != nil {
			return
		}
		address, to := m.listen, node
		if i%2 == 1 {
			address, to = m.server.Addr, direct
		}
		inFlight.Go(func() { to.add(m.send(address)) })
	}
}

// send sends one request and returns the time until the answer's last byte, and whether the request was answered with 200.
func (m *measurement) send(address string) (time.Duration, bool) {
	id := "r" + strconv.FormatInt(m.requests.Add(1), 10)
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+class, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Account", account)
	req.Header.Set("X-Time-Left", "1.2")
	m.rec.Sending(id)
	begin := time.Now()
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return time.Since(begin), resp.StatusCode == http.StatusOK
}

// series collects the times of requests on one of the two paths, through the node or directly.
type series struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int64
}

func newSeries() *series {
	return &series{histogram: hdrhistogram.New(1, maxRecordedNS/resolutionNS, 3)}
}

func (s *series) add(took time.Duration, ok bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.failed++
		return
	}
	s.histogram.RecordValue(min(int64(took), maxRecordedNS) / resolutionNS)
}

func (s *series) times() Times {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := func(percentile float64) float64 { return float64(s.histogram.ValueAtQuantile(percentile)) / 1000 }
	return Times{Count: s.histogram.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(s.histogram.Max()) / 1000}
}
