// Package datapath measures what a real node adds to a request: one node process before one stub app server, a list of
// any size whose every entry is that server, and requests in turn through the node and to the server directly.
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

// Plan is one measurement.
type Plan struct {
	Binary       string        `json:"binary"`         // the node program
	Dir          string        `json:"-"`              // of its log and configuration
	Nodes        int           `json:"nodes"`          // that the node is configured for: its subset and its part of quotas go by it
	Servers      int           `json:"servers"`        // entries of the list
	ChangesPerS  float64       `json:"changes_per_s"`  // of the list: an entry drains, and is ready again at the next change
	RequestsPerS float64       `json:"requests_per_s"` // through the node; as many go directly
	Latency      time.Duration `json:"latency"`        // of the app server's work, ns
	Warm         time.Duration `json:"warm"`           // ns, not counted
	Measure      time.Duration `json:"measure"`        // ns
	Seed         uint64        `json:"seed"`
}

// Bounds of a plan: a load loop is to end by itself, and to leave the machine alone.
const (
	MaxNodes        = 10_000
	MaxServers      = 100_000
	MaxRequestsPerS = 2000
	MaxMeasure      = 10 * time.Minute
)

// Check gives one line on what of a plan can't be.
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

// Times are percentiles of complete requests, in ms.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Result is what a plan came to. Added is the difference of the percentiles.
type Result struct {
	Plan    Plan    `json:"plan"`
	Direct  Times   `json:"direct"`
	Node    Times   `json:"node"`
	Added   Times   `json:"added"`
	Failed  int64   `json:"failed"`  // requests through the node that were not answered with 200
	Lost    int64   `json:"lost"`    // direct ones
	Changes int     `json:"changes"` // of the list while it was measured
	CPU     float64 `json:"cpu_s"`   // of the node over its whole life
}

const (
	class       = "schedule-view"
	account     = "one"
	zone        = "a"
	readyWithin = 30 * time.Second
	endWithin   = 5 * time.Second
	resolution  = int64(time.Microsecond)
	longest     = int64(10 * time.Second)
)

// bench is one measurement under way.
type bench struct {
	plan     Plan
	rec      *stub.Recorder
	server   *stub.AppServer
	list     *stub.Discovery
	listen   string
	node     *exec.Cmd
	client   *http.Client
	requests atomic.Int64
}

// Measure carries out a plan. It ends what it started, whatever comes.
func Measure(ctx context.Context, plan Plan) (result Result, err error) {
	if err := plan.Check(); err != nil {
		return Result{}, err
	}
	b := &bench{plan: plan, rec: stub.NewRecorder()}
	defer func() { result.CPU = b.close() }()
	if err := b.start(ctx); err != nil {
		return Result{}, err
	}
	b.load(ctx, plan.Warm, nil, nil)
	direct, node := newSeries(), newSeries()
	changing, stop := context.WithCancel(ctx)
	changed := make(chan int)
	go func() { changed <- b.change(changing) }()
	b.load(ctx, plan.Measure, direct, node)
	stop()
	result = Result{Plan: plan, Direct: direct.times(), Node: node.times(), Failed: node.failed, Lost: direct.failed, Changes: <-changed}
	result.Added = Times{P50: result.Node.P50 - result.Direct.P50, P99: result.Node.P99 - result.Direct.P99,
		P999: result.Node.P999 - result.Direct.P999, Max: result.Node.Max - result.Direct.Max}
	return result, ctx.Err()
}

// start brings up the app server, the list and the node, and waits until the node is ready.
func (b *bench) start(ctx context.Context) error {
	spec := stub.ServerSpec{ID: "s-0", Zone: zone, Capacity: 256, Latency: b.plan.Latency, IdleClose: time.Minute}
	var err error
	if b.server, err = stub.NewAppServer(spec, "127.0.0.1:0", func(string) int { return 0 }, b.rec, b.plan.Seed); err != nil {
		return err
	}
	entries := make([]stub.Entry, b.plan.Servers)
	for i := range entries {
		entries[i] = stub.Entry{ID: entryID(i), Zone: zone, Kind: "std", State: "ready", Weight: 1, StartedMS: 1}
	}
	b.list = stub.NewDiscovery(entries)
	discovery, err := b.list.View(func(string) string { return b.server.Addr })
	if err != nil {
		return err
	}
	if b.listen, err = freeAddress(); err != nil {
		return err
	}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: endWithin}
	if err := b.launch(discovery); err != nil {
		return err
	}
	return b.ready(ctx)
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

// settings are the embedded ones with the planned number of nodes.
func (b *bench) settings() (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(settings, &fields); err != nil {
		return nil, err
	}
	fields["balancers"] = json.RawMessage(strconv.Itoa(b.plan.Nodes))
	return json.Marshal(fields)
}

func (b *bench) launch(discovery string) error {
	own, err := b.settings()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(config{
		Name:      "n0",
		Listen:    b.listen,
		Discovery: discovery,
		Seed:      strconv.FormatUint(b.plan.Seed, 16),
		Limits:    limits{Sockets: 1024, MemoryMB: 256},
		Settings:  own,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(b.plan.Dir, "config.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.plan.Dir, "node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	node := exec.Command(b.plan.Binary)
	node.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+b.plan.Dir)
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	b.node = node
	return nil
}

func (b *bench) ready(ctx context.Context) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		resp, err := b.client.Get("http://" + b.listen + "/health/ready")
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

// close ends the node, by its own pid, and the stubs. It gives the node's processor time.
func (b *bench) close() (cpu float64) {
	if b.node != nil {
		b.node.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(endWithin, func() { b.node.Process.Kill() })
		b.node.Wait()
		kill.Stop()
		cpu = (b.node.ProcessState.UserTime() + b.node.ProcessState.SystemTime()).Seconds()
	}
	if b.list != nil {
		b.list.Close()
	}
	if b.server != nil {
		b.server.Stop()
	}
	return cpu
}

// change has one entry of the list drain and return, in turn, at the planned rate, until ctx ends.
func (b *bench) change(ctx context.Context) (changes int) {
	if b.plan.ChangesPerS == 0 {
		<-ctx.Done()
		return 0
	}
	rnd := rand.New(rand.NewPCG(b.plan.Seed, 1))
	every := time.Duration(float64(time.Second) / b.plan.ChangesPerS)
	drained := ""
	for stub.Sleep(ctx, every) {
		if drained == "" {
			drained = entryID(rnd.IntN(b.plan.Servers))
			b.list.Set(drained, "draining", 0)
		} else {
			b.list.Set(drained, "ready", 0)
			drained = ""
		}
		changes++
	}
	return changes
}

// load sends requests at the planned rate for d, each once through the node and once directly, half a period apart. It waits
// for their answers. Without series nothing is recorded.
func (b *bench) load(ctx context.Context, d time.Duration, direct, node *series) {
	var open sync.WaitGroup
	defer open.Wait()
	half := time.Duration(float64(time.Second) / b.plan.RequestsPerS / 2)
	begin := time.Now()
	for i := 0; time.Duration(i)*half < d; i++ {
		if !stub.Sleep(ctx, time.Until(begin.Add(time.Duration(i)*half))) && ctx.Err() != nil {
			return
		}
		address, to := b.listen, node
		if i%2 == 1 {
			address, to = b.server.Addr, direct
		}
		open.Go(func() { to.add(b.send(address)) })
	}
}

// send makes one request and gives the time until its last byte, or false where it was not answered with 200.
func (b *bench) send(address string) (time.Duration, bool) {
	id := "r" + strconv.FormatInt(b.requests.Add(1), 10)
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+class, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Account", account)
	req.Header.Set("X-Time-Left", "1.2")
	b.rec.Sending(id)
	begin := time.Now()
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return time.Since(begin), resp.StatusCode == http.StatusOK
}

// series are the times of one way.
type series struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int64
}

func newSeries() *series {
	return &series{histogram: hdrhistogram.New(1, longest/resolution, 3)}
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
	s.histogram.RecordValue(min(int64(took), longest) / resolution)
}

func (s *series) times() Times {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := func(percentile float64) float64 { return float64(s.histogram.ValueAtQuantile(percentile)) / 1000 }
	return Times{Count: s.histogram.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(s.histogram.Max()) / 1000}
}
