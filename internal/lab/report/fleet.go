package report

import (
	"slices"
	"sort"
	"strings"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab"
)

// ZoneLoss describes the effect on the fleet of a fault on a zone's servers or on the links to them. LeftMS and ServedMS are -1 if
// the event never occurred. Times in ms count from the start of the fault.
type ZoneLoss struct {
	Zone      string  `json:"zone"`
	AtS       float64 `json:"at_s"`
	LeftMS    float64 `json:"left_ms"`     // first directive to leave the zone
	ServedMS  float64 `json:"served_ms"`   // removal of the zone's last directive: nodes serve the zone normally again
	StopP50MS float64 `json:"stop_p50_ms"` // a node's last attempt, also one that reached no server, before the zone was back or in probation
	StopP95MS float64 `json:"stop_p95_ms"`
	SpreadMS  float64 `json:"spread_ms"` // from the first node that stopped to StopP95MS
	Nodes     int     `json:"nodes"`     // nodes that sent an attempt to the zone
	Tries     int     `json:"tries"`     // attempts at the zone that reached no server
	Further   int     `json:"further"`   // the fleet's attempts beyond the first of each request, and unreachable ones, until then
	Requests  int     `json:"requests"`  // requests that clients sent until then
}

// Onboarding describes how long a tenant's generation took to be applied by the nodes, in ms from the answer to its PUT.
type Onboarding struct {
	Tenant     string  `json:"tenant"`
	Generation uint64  `json:"generation"`
	Nodes      int     `json:"nodes"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
	AllMS      float64 `json:"all_ms"` // until all nodes had applied it; 0: never
}

// Detection is the outcome of a drift that the lab caused on purpose.
type Detection struct {
	Node  string  `json:"node"`
	State string  `json:"state"`
	MS    float64 `json:"ms"` // time until the leader's verdict; -1: none
	What  string  `json:"what"`
}

// Deaths describes how long the remaining members took to declare a silenced member (killed or stopped) dead, over all pairs.
type Deaths struct {
	Silenced int     `json:"silenced"` // silenced members
	Pairs    int     `json:"pairs"`    // pairs of a silenced and a remaining member
	Missed   int     `json:"missed"`   // pairs whose remaining member never declared the other dead
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	False    int     `json:"false"` // declarations of death about members that were not silenced, with or without a fault
}

func deaths(r *lab.Records) Deaths {
	silencedAt := map[int]time.Duration{}
	for _, s := range r.Silenced {
		if _, ok := silencedAt[s.Node]; !ok {
			silencedAt[s.Node] = s.At
		}
	}
	out := Deaths{Silenced: len(silencedAt), Pairs: len(silencedAt) * (len(r.Nodes) - len(silencedAt))}
	seen := map[[2]int]bool{}
	var took []float64
	for _, s := range r.Sightings {
		when, ok := silencedAt[s.Of]
		_, bySilenced := silencedAt[s.By]
		switch {
		case s.State != "dead" || bySilenced:
		case !ok:
			out.False++
		case s.At >= when && !seen[[2]int{s.By, s.Of}]:
			seen[[2]int{s.By, s.Of}] = true
			took = append(took, milliseconds(s.At-when))
		}
	}
	sort.Float64s(took)
	out.Missed = out.Pairs - len(took)
	out.P50MS = quantile(took, 0.5)
	out.P99MS = quantile(took, 0.99)
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns quantile q, from 0 to 1, of the sorted values v, or 0 if there are none.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// zoneLosses returns a ZoneLoss for each zone that a fault affected, sorted by zone.
func zoneLosses(r *lab.Records) []ZoneLoss {
	var out []ZoneLoss
	if r.Fleet == nil {
		return out
	}
	var zones []string
	for z := range r.Fleet.Faulted {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	for _, z := range zones {
		at := r.Fleet.Faulted[z]
		loss := ZoneLoss{Zone: z, AtS: at.Seconds(), LeftMS: -1, ServedMS: -1}
		back := time.Duration(r.Scenario.DurationS * float64(time.Second))
		for _, c := range r.Changes {
			if r.Fleet.ServerZone[c.Server] == z && c.State == "ready" && c.At > at {
				back = min(back, c.At)
			}
		}
		for _, d := range r.Timeline {
			if d.Do == "heal" && d.At > at {
				back = min(back, d.At)
			}
		}
		for _, t := range r.Fleet.IntentChanges {
			zone, _, _ := strings.Cut(strings.TrimPrefix(t.Key, "zone/"), "@")
			switch {
			case zone != z || t.At < at:
			case t.Removed:
				loss.ServedMS = milliseconds(t.At - at)
			case t.Phase == "left" && loss.LeftMS < 0:
				loss.LeftMS = milliseconds(t.At - at)
			case t.Phase == "probation":
				back = min(back, t.At)
			}
		}
		loss.countAttempts(r, at, back)
		out = append(out, loss)
	}
	return out
}

// countAttempts fills in the figures about attempts and requests from the start of the fault until the zone was back.
func (l *ZoneLoss) countAttempts(r *lab.Records, at, back time.Duration) {
	last := map[int]time.Duration{}
	requests := map[string]bool{}
	within := func(t time.Duration) bool { return t >= at && t < back }
	for _, a := range r.Attempts {
		if !within(a.Start) {
			continue
		}
		requests[a.ID] = true
		l.Further++
		if r.Fleet.ServerZone[a.Server] == l.Zone {
			last[a.Node] = max(last[a.Node], a.Start)
		}
	}
	l.Further -= len(requests)
	for _, t := range r.Fleet.UnreachableAttempts {
		if within(t.At) {
			l.Further++
			if r.Fleet.ServerZone[t.Server] == l.Zone {
				l.Tries++
				last[t.Node] = max(last[t.Node], t.At)
			}
		}
	}
	l.Requests = len(slices.DeleteFunc(slices.Clone(r.Sent), func(s invariants.Sent) bool { return !within(s.At) }))
	var stops []float64
	for _, t := range last {
		stops = append(stops, milliseconds(t-at))
	}
	sort.Float64s(stops)
	l.Nodes = len(stops)
	l.StopP50MS = quantile(stops, 0.5)
	l.StopP95MS = quantile(stops, 0.95)
	l.SpreadMS = l.StopP95MS - quantile(stops, 0)
}

func onboardings(r *lab.Records) []Onboarding {
	var out []Onboarding
	for _, o := range r.Onboarded {
		var v []float64
		for _, d := range o.Applied {
			v = append(v, milliseconds(d))
		}
		sort.Float64s(v)
		out = append(out, Onboarding{o.Tenant, o.Generation, len(v), quantile(v, 0.5), quantile(v, 0.99), milliseconds(o.All)})
	}
	return out
}

func detections(r *lab.Records) []Detection {
	var out []Detection
	if r.Fleet == nil {
		return out
	}
	for _, p := range r.Fleet.Planted {
		d := Detection{Node: r.Nodes[p.Node].Name, MS: -1}
		for _, v := range r.Fleet.Verdicts {
			if v.Node == p.Node && v.At >= p.At && slices.Contains([]string{"overridden", "diverged", "stuck", "ahead"}, v.State) {
				d.State = v.State
				d.MS = milliseconds(v.At - p.At)
				d.What = v.What
				break
			}
		}
		out = append(out, d)
	}
	return out
}
