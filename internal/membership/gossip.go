package membership

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/prometheus/client_golang/prometheus"
)

// Config places a member. Bind must be a loopback host:port; so must Advertise, where others are to reach the member
// at another address than that, as through a relay.
type Config struct {
	Name      string
	Bind      string
	Zone      string
	Advertise string
	Seeds     []string
	// Of the Sizer.
	Stable   time.Duration
	Hold     time.Duration
	Registry prometheus.Registerer
	Log      *slog.Logger
}

// Gossip is a running member: memberlist and the view it keeps.
type Gossip struct {
	cfg         Config
	ml          *memberlist.Memberlist
	incarnation int64
	mu          sync.Mutex // guards view, sizer and states
	view        View
	sizer       Sizer
	states      map[string]State
	done        chan struct{}
	events      chan struct{} // an event came: refresh now

	members     *prometheus.GaugeVec
	suspicions  prometheus.Counter
	refutations prometheus.Counter
	bytes       prometheus.Counter
	errors      prometheus.Counter
	lastLog     time.Time // of memberlist's complaints, which a peer sending garbage can make many
}

// Write takes memberlist's own log: errors and warnings are counted, and logged at most once a second.
func (g *Gossip) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if !strings.Contains(line, "[ERR]") && !strings.Contains(line, "[WARN]") {
		return len(p), nil
	}
	g.errors.Inc()
	g.mu.Lock()
	quiet := time.Since(g.lastLog) < time.Second
	if !quiet {
		g.lastLog = time.Now()
	}
	g.mu.Unlock()
	if !quiet {
		g.cfg.Log.Warn("gossip", "memberlist", line)
	}
	return len(p), nil
}

type meta struct {
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"`
}

// delegate gives memberlist this member's meta and counts bytes of gossip it is handed.
type delegate struct{ g *Gossip }

func (d delegate) NodeMeta(limit int) []byte {
	raw, _ := json.Marshal(meta{d.g.cfg.Zone, d.g.incarnation})
	if len(raw) > limit {
		return nil
	}
	return raw
}
func (d delegate) NotifyMsg(b []byte)                         { d.g.bytes.Add(float64(len(b))) }
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d delegate) LocalState(join bool) []byte                { return nil }
func (d delegate) MergeRemoteState(buf []byte, join bool)     {}

// events hears memberlist's verdicts on joins, leaves and deaths.
type events struct{ g *Gossip }

// memberlist calls these holding its own locks: they only note, and poll refreshes the view.
func (e events) NotifyJoin(n *memberlist.Node)   { e.g.nudge() }
func (e events) NotifyLeave(n *memberlist.Node)  { e.g.gone(n) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.g.nudge() }

func (g *Gossip) nudge() {
	select {
	case g.events <- struct{}{}:
	default:
	}
}

// loopback reads a loopback host:port.
func loopback(what, addr string) (string, int, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, fmt.Errorf("membership %s: %w", what, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", 0, fmt.Errorf("membership %s %s is not a loopback address", what, addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", 0, fmt.Errorf("membership %s %s: %w", what, addr, err)
	}
	return host, port, nil
}

// Start joins the fleet through the seeds (none: a fleet of one until others join).
func Start(cfg Config) (*Gossip, error) {
	host, port, err := loopback("bind", cfg.Bind)
	if err != nil {
		return nil, err
	}
	known, knownPort := host, port
	if cfg.Advertise != "" {
		if known, knownPort, err = loopback("advertise", cfg.Advertise); err != nil {
			return nil, err
		}
	}
	g := &Gossip{
		cfg:         cfg,
		incarnation: time.Now().UnixMilli(),
		states:      map[string]State{},
		done:        make(chan struct{}),
		events:      make(chan struct{}, 1),
		sizer:       Sizer{Stable: cfg.Stable, Hold: cfg.Hold},
	}
	g.members = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "membership_members", Help: "Members by state in this view."}, []string{"state"})
	g.suspicions = prometheus.NewCounter(prometheus.CounterOpts{Name: "membership_suspicions_total", Help: "Members seen turn suspect."})
	g.refutations = prometheus.NewCounter(prometheus.CounterOpts{Name: "membership_refutations_total", Help: "Suspect members seen alive again."})
	g.bytes = prometheus.NewCounter(prometheus.CounterOpts{Name: "membership_user_bytes_total", Help: "Bytes of gossip handed to this member."})
	g.errors = prometheus.NewCounter(prometheus.CounterOpts{Name: "membership_gossip_errors_total", Help: "Errors and warnings of memberlist, such as garbage from a peer."})
	if cfg.Registry != nil {
		for _, c := range []prometheus.Collector{g.members, g.suspicions, g.refutations, g.bytes, g.errors} {
			if err := cfg.Registry.Register(c); err != nil {
				return nil, err
			}
		}
	}
	mc := memberlist.DefaultLANConfig()
	// A herd is to be noticed in seconds (docs/membership.md, "How long"): a suspicion lasts 8 probe intervals at up to
	// ten members (times log10 of their number beyond), whoever confirms it, and is never less than a pause of 3 s.
	mc.ProbeInterval = 400 * time.Millisecond
	mc.ProbeTimeout = 250 * time.Millisecond
	mc.TCPTimeout = 2 * time.Second
	mc.SuspicionMult = 8
	mc.SuspicionMaxTimeoutMult = 1
	mc.AwarenessMaxMultiplier = 2
	mc.Name = cfg.Name
	mc.BindAddr = host
	mc.BindPort = port
	mc.AdvertiseAddr = known
	mc.AdvertisePort = knownPort
	mc.Delegate = delegate{g}
	mc.Events = events{g}
	mc.LogOutput = g
	transport, err := newTransport(host, port, g)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if mc.Transport = transport; port == 0 {
		mc.BindPort = transport.GetAutoBindPort()
	}
	if knownPort == 0 {
		mc.AdvertisePort = mc.BindPort
	}
	if g.ml, err = memberlist.Create(mc); err != nil {
		transport.Shutdown()
		return nil, fmt.Errorf("membership: %w", err)
	}
	if len(cfg.Seeds) > 0 {
		if _, err := g.ml.Join(cfg.Seeds); err != nil {
			cfg.Log.Warn("no seed answered; alone until one does", "err", err)
		}
	}
	g.refresh()
	go g.poll()
	go g.rejoin()
	return g, nil
}

// poll notices suspicion, which memberlist tells no event of.
func (g *Gossip) poll() {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
		case <-g.events:
		}
		g.refresh()
	}
}

func state(n *memberlist.Node) State {
	switch n.State {
	case memberlist.StateSuspect:
		return Suspect
	case memberlist.StateDead:
		return Dead
	case memberlist.StateLeft:
		return Left
	}
	return Alive
}

// gone records a death or a leave, which Members no longer lists.
func (g *Gossip) gone(n *memberlist.Node) {
	g.mu.Lock()
	g.states[n.Name] = state(n)
	g.mu.Unlock()
	g.nudge()
}

// refresh rebuilds the view from memberlist's members and the deaths and leaves heard.
func (g *Gossip) refresh() {
	nodes := g.ml.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := map[string]Member{}
	for _, n := range nodes {
		var m meta
		json.Unmarshal(n.Meta, &m)
		st := state(n)
		switch prev := g.states[n.Name]; {
		case st == Suspect && prev != Suspect:
			g.suspicions.Inc()
		case st == Alive && prev == Suspect:
			g.refutations.Inc()
		}
		g.states[n.Name] = st
		seen[n.Name] = Member{Name: n.Name, Addr: n.Address(), Zone: m.Zone, State: st, Incarnation: m.Incarnation}
	}
	var members []Member
	changed := false
	for name, st := range g.states {
		m, ok := seen[name]
		if !ok {
			if st == Alive || st == Suspect {
				st = Dead
				g.states[name] = Dead
			}
			m = Member{Name: name, State: st}
			for _, old := range g.view.Members {
				if old.Name == name {
					m.Addr = old.Addr
					m.Zone = old.Zone
					m.Incarnation = old.Incarnation
				}
			}
		}
		members = append(members, m)
	}
	sortMembers(members)
	if len(members) != len(g.view.Members) {
		changed = true
	} else {
		for i := range members {
			changed = changed || members[i] != g.view.Members[i]
		}
	}
	if changed {
		g.view.Epoch++
	}
	g.view.Members = members
	g.view.Alive = g.view.Count(Alive) + g.view.Count(Suspect)
	now := time.Now().UnixNano()
	g.view.Size, g.view.Agreed, g.view.Sure = g.sizer.Observe(g.view.Alive, now)
	g.view.AgreedAgeMS = g.sizer.AgreedAge(now).Milliseconds()
	for _, s := range []State{Alive, Suspect, Dead, Left} {
		g.members.WithLabelValues(string(s)).Set(float64(g.view.Count(s)))
	}
}

// View gives a copy of the present view.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.view
	v.Members = append([]Member(nil), g.view.Members...)
	return v
}

// Leave says goodbye so that peers record "left", not "dead", and ends the member.
func (g *Gossip) Leave(timeout time.Duration) error {
	err := g.ml.Leave(timeout)
	g.Close()
	return err
}

// Close ends the member without a goodbye.
func (g *Gossip) Close() {
	select {
	case <-g.done:
	default:
		close(g.done)
		g.ml.Shutdown()
	}
}
