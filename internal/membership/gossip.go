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

// Config holds the settings of a member. Bind must be a loopback host:port. Advertise is needed only where the other members
// reach this one at an address other than Bind, for example through a relay; it must be a loopback host:port too.
type Config struct {
	Name      string
	Bind      string
	Zone      string
	Advertise string
	Seeds     []string
	// Stable and Hold are the settings of the Sizer.
	Stable   time.Duration
	Hold     time.Duration
	Registry prometheus.Registerer
	Log      *slog.Logger
}

// Gossip is a running member: its memberlist instance and the view that is built from it.
type Gossip struct {
	cfg         Config
	ml          *memberlist.Memberlist
	incarnation int64
	mu          sync.Mutex // guards view, sizer, states and lastLogged
	view        View
	sizer       Sizer
	states      map[string]State
	done        chan struct{}
	events      chan struct{} // signals poll to refresh the view at once; holds one signal at most

	members     *prometheus.GaugeVec
	suspicions  prometheus.Counter
	refutations prometheus.Counter
	bytes       prometheus.Counter
	errors      prometheus.Counter
	lastLogged  time.Time // when an error or warning of memberlist was last logged; a peer that sends garbage can cause many
}

// Write receives memberlist's own log. It counts errors and warnings, logs at most one of them a second, and drops all other lines.
func (g *Gossip) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if !strings.Contains(line, "[ERR]") && !strings.Contains(line, "[WARN]") {
		return len(p), nil
	}
	g.errors.Inc()
	g.mu.Lock()
	suppressed := time.Since(g.lastLogged) < time.Second
	if !suppressed {
		g.lastLogged = time.Now()
	}
	g.mu.Unlock()
	if !suppressed {
		g.cfg.Log.Warn("gossip", "memberlist", line)
	}
	return len(p), nil
}

type meta struct {
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"`
}

// delegate implements memberlist.Delegate. It provides this member's metadata and counts the bytes of the user messages received.
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

// events implements memberlist.EventDelegate: memberlist reports joins, leaves, deaths and updates of members to it.
type events struct{ g *Gossip }

// NotifyJoin, NotifyLeave and NotifyUpdate only record the event, because memberlist calls them while it holds its own locks; poll
// refreshes the view.
func (e events) NotifyJoin(n *memberlist.Node)   { e.g.requestRefresh() }
func (e events) NotifyLeave(n *memberlist.Node)  { e.g.recordDeparture(n) }
func (e events) NotifyUpdate(n *memberlist.Node) { e.g.requestRefresh() }

func (g *Gossip) requestRefresh() {
	select {
	case g.events <- struct{}{}:
	default:
	}
}

// parseLoopback splits a loopback host:port. Its errors name the setting key.
func parseLoopback(key, addr string) (string, int, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, fmt.Errorf("membership %s: %w", key, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", 0, fmt.Errorf("membership %s %s is not a loopback address", key, addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", 0, fmt.Errorf("membership %s %s: %w", key, addr, err)
	}
	return host, port, nil
}

// Start starts a member and joins the fleet through the seeds. Without seeds the member is a fleet of one until others join.
func Start(cfg Config) (*Gossip, error) {
	host, port, err := parseLoopback("bind", cfg.Bind)
	if err != nil {
		return nil, err
	}
	advertiseHost, advertisePort := host, port
	if cfg.Advertise != "" {
		if advertiseHost, advertisePort, err = parseLoopback("advertise", cfg.Advertise); err != nil {
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
	// The loss of many members at once must be detected within seconds (docs/membership.md, "How long"). A suspicion lasts
	// 8 probe intervals with up to ten members, and that times log10 of their number with more. Confirmations by other
	// members don't shorten it, so a member that is paused for 3 s is never declared dead.
	mc.ProbeInterval = 400 * time.Millisecond
	mc.ProbeTimeout = 250 * time.Millisecond
	mc.TCPTimeout = 2 * time.Second
	mc.SuspicionMult = 8
	mc.SuspicionMaxTimeoutMult = 1
	mc.AwarenessMaxMultiplier = 2
	mc.Name = cfg.Name
	mc.BindAddr = host
	mc.BindPort = port
	mc.AdvertiseAddr = advertiseHost
	mc.AdvertisePort = advertisePort
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
	if advertisePort == 0 {
		mc.AdvertisePort = mc.BindPort
	}
	if g.ml, err = memberlist.Create(mc); err != nil {
		transport.Shutdown()
		return nil, fmt.Errorf("membership: %w", err)
	}
	if len(cfg.Seeds) > 0 {
		if _, err := g.ml.Join(cfg.Seeds); err != nil {
			cfg.Log.Warn("no seed answered; the member is alone until one does", "err", err)
		}
	}
	g.refresh()
	go g.poll()
	go g.rejoin()
	return g, nil
}

// poll refreshes the view at every event and every 200 ms, because memberlist reports no event when a member turns suspect.
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

// recordDeparture records that a member died or left. memberlist's Members no longer lists such a member.
func (g *Gossip) recordDeparture(n *memberlist.Node) {
	g.mu.Lock()
	g.states[n.Name] = state(n)
	g.mu.Unlock()
	g.requestRefresh()
}

// refresh rebuilds the view from memberlist's list of members and the recorded deaths and leaves.
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

// View returns a copy of the current view.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.view
	v.Members = append([]Member(nil), g.view.Members...)
	return v
}

// Leave announces the departure, so that the other members record this one as left and not as dead, and ends the member.
func (g *Gossip) Leave(timeout time.Duration) error {
	err := g.ml.Leave(timeout)
	g.Close()
	return err
}

// Close ends the member without announcing its departure.
func (g *Gossip) Close() {
	select {
	case <-g.done:
	default:
		close(g.done)
		g.ml.Shutdown()
	}
}
