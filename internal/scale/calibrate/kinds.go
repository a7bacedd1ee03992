package calibrate

import (
	"bufio"
	"bytes"
	"context"
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
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowsill/internal/lab"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/simulated"
	"meadowsill/internal/scale/hollow"
)

// rolloutSettled reports whether a tenant's rollout is over according to the leader.
func (m *measurement) rolloutSettled(name string) (bool, error) {
	var status struct {
		Phase string `json:"phase"`
	}
	_, text, _, err := simulated.Call(m.cluster.HTTP, http.MethodGet, "/fleet/v1/tenants/"+name+"/status", nil)
	if err != nil {
		return false, err
	}
	return json.Unmarshal([]byte(text), &status) == nil && status.Phase == "settled", nil
}

// hollowNodes are the nodes of one hollow process.
type hollowNodes struct {
	process *hollow.Process
	count   int
}

func startHollow(ctx context.Context, m *measurement, binaries Binaries, dir string) (nodes, error) {
	process, err := hollow.Start(ctx, binaries.Fleetlab, hollow.Config{
		Replicas:      m.cluster.HTTP,
		Nodes:         m.plan.Nodes,
		Services:      services,
		Zones:         zones,
		ActiveTenants: m.plan.Tenants,
		RequestsPerS:  m.plan.RequestsPerS,
		Dir:           filepath.Join(dir, "agents"),
		Seed:          m.plan.Seed,
	}, m.log)
	if err != nil {
		return nil, err
	}
	return &hollowNodes{process, m.plan.Nodes}, nil
}

func (h *hollowNodes) ready() (bool, error) {
	usage, err := h.process.Usage()
	return usage.Ready == h.count, err
}

func (h *hollowNodes) readCounts() (counts, error) {
	usage, err := h.process.Usage()
	return counts{usage.Calls, usage.ReportBytes, usage.CPU, usage.RSSBytes}, err
}

func (h *hollowNodes) revisionLag() (uint64, error) {
	usage, err := h.process.Usage()
	return usage.Behind, err
}

func (h *hollowNodes) close() error { return h.process.Close() }

// realNodes are node processes with an agent process each, the app servers that they use, and the clients that send them requests.
type realNodes struct {
	meter   *hollow.Meter
	pairs   []pair
	servers []*http.Server
	stop    context.CancelFunc
	clients sync.WaitGroup
}

// pair is a node process and its agent process.
type pair struct {
	agent      *exec.Cmd
	node       *exec.Cmd
	agentAddr  string
	nodeListen string
}

func startReal(ctx context.Context, m *measurement, binaries Binaries, dir string, network int) (nodes, error) {
	ctx, stop := context.WithCancel(ctx)
	n := &realNodes{meter: hollow.NewMeter(), stop: stop}
	err := n.start(ctx, m, binaries, dir, network)
	if err != nil {
		return nil, errors.Join(err, n.close())
	}
	return n, nil
}

func (n *realNodes) start(ctx context.Context, m *measurement, binaries Binaries, dir string, network int) error {
	for number := range m.plan.Servers {
		for replacements := range 2 {
			if err := n.startServer(hollow.ServerAddress(number, replacements)); err != nil {
				return err
			}
		}
	}
	var replicaArgs []string
	for _, replica := range m.cluster.HTTP {
		relayAddress, err := n.meter.Relay(replica)
		if err != nil {
			return err
		}
		replicaArgs = append(replicaArgs, "--replica", replica, "--route", replica+"="+relayAddress)
	}
	for i := range m.plan.Nodes {
		if err := n.startPair(ctx, m, binaries, dir, network, i, replicaArgs); err != nil {
			return err
		}
	}
	for i := range n.pairs {
		n.clients.Go(func() { n.generateLoad(ctx, m.plan, i) })
	}
	return nil
}

// startPair starts node number i and its agent.
func (n *realNodes) startPair(ctx context.Context, m *measurement, binaries Binaries, dir string, network, i int, replicaArgs []string) error {
	name, zone := fmt.Sprintf("n%03d", i), zones[i%len(zones)]
	data := filepath.Join(dir, name)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	p := pair{agentAddr: fmt.Sprintf("127.7.%d.%d:9100", network, i+1), nodeListen: fmt.Sprintf("127.8.%d.%d:8080", network, i+1)}
	var err error
	args := append([]string{"agent", "--node", name, "--zone", zone, "--dir", data, "--listen", p.agentAddr}, replicaArgs...)
	if p.agent, err = startLogged(ctx, filepath.Join(data, "agent.log"), nil, binaries.Discovery, args...); err != nil {
		return err
	}
	n.pairs = append(n.pairs, p)
	settings := lab.Settings()
	settings["balancers"] = m.plan.Nodes
	settings["slot_no"] = i
	settings["zone"] = zone
	settings["failure_domains"] = zones
	settings["accounts"] = []any{}
	raw, err := json.Marshal(nodeConfig{
		Name:      name,
		Listen:    p.nodeListen,
		Discovery: p.agentAddr,
		Seed:      fmt.Sprintf("%x", m.plan.Seed+uint64(i)+1),
		Settings:  settings,
		Fleet:     nodeFleet{Agent: p.agentAddr, ReportMS: 250, CatchUpMS: 10_000},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(data, "config.json")
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return err
	}
	p.node, err = startLogged(ctx, filepath.Join(data, "node.log"), []string{"GW_CONFIG=" + file, "TMPDIR=" + data}, binaries.Node)
	n.pairs[i] = p
	return err
}

// nodeConfig is a node's configuration file.
type nodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Settings  map[string]any `json:"settings"`
	Fleet     nodeFleet      `json:"fleet"`
}

type nodeFleet struct {
	Agent     string `json:"agent"`
	ReportMS  int    `json:"report_ms"`
	CatchUpMS int    `json:"catch_up_ms"`
}

// startLogged starts a process that writes its output to logFile. The process is killed when ctx ends or this process does.
func startLogged(ctx context.Context, logFile string, env []string, bin string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.CommandContext(ctx, bin, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

// startServer starts an app server at an address. As in the model of the hollow nodes, it answers a request after 5 ms plus an
// exponentially distributed time with a mean of 15 ms.
func (n *realNodes) startServer(address string) error {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(15*time.Millisecond)))
		io.WriteString(w, "ok\n")
	})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, server)
	go server.Serve(listener)
	return nil
}

// generateLoad sends requests of randomly chosen tenants to node number i, with Poisson arrivals, until ctx ends.
func (n *realNodes) generateLoad(ctx context.Context, plan Plan, i int) {
	random := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / plan.RequestsPerS * float64(time.Second))):
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.pairs[i].nodeListen+"/schedule-view", nil)
		if err != nil {
			return
		}
		request.Header.Set("X-Account", tenantName(random.IntN(plan.Tenants)))
		request.Header.Set("X-Time-Left", "2")
		request.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", random.Uint64()))
		running.Go(func() {
			if response, err := client.Do(request); err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}

var client = http.Client{Timeout: callTimeout}

func (n *realNodes) ready() (bool, error) {
	for _, p := range n.pairs {
		response, err := client.Get("http://" + p.nodeListen + "/health/ready")
		if err != nil {
			return false, nil // the node doesn't listen yet
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false, nil
		}
	}
	return true, nil
}

func (n *realNodes) readCounts() (counts, error) {
	c := counts{calls: n.meter.Traffic(), reportBytes: n.meter.ReportBytes()}
	for _, p := range n.pairs {
		c.cpu += discoverylab.CPUTime(p.agent.Process.Pid)
		c.rss += uint64(discoverylab.RSS(p.agent.Process.Pid)) << 10
	}
	return c, nil
}

// revisionLag reads the revision of every agent, and returns the difference between the newest and the oldest.
func (n *realNodes) revisionLag() (uint64, error) {
	var newest, oldest uint64
	for i, p := range n.pairs {
		response, err := client.Get("http://" + p.agentAddr + "/metrics")
		if err != nil {
			return 0, err
		}
		raw, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, err
		}
		revision, err := metric(raw, "fleet_agent_revision")
		if err != nil {
			return 0, err
		}
		newest = max(newest, revision)
		if i == 0 || revision < oldest {
			oldest = revision
		}
	}
	return newest - oldest, nil
}

// metric returns the value of a metric in Prometheus' text format as a whole number.
func metric(text []byte, name string) (uint64, error) {
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			number, err := strconv.ParseFloat(value, 64)
			return uint64(number), err
		}
	}
	return 0, fmt.Errorf("no %s among the agent's metrics", name)
}

func (n *realNodes) close() error {
	n.stop()
	n.clients.Wait()
	for _, p := range n.pairs {
		for _, cmd := range []*exec.Cmd{p.node, p.agent} {
			if cmd != nil && cmd.Process != nil {
				cmd.Process.Kill()
				cmd.Wait()
			}
		}
	}
	n.meter.Close()
	for _, server := range n.servers {
		server.Close()
	}
	return nil
}
