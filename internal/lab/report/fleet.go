package report

import (
	"slices"
	"sort"
	"strings"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab"
)

// ZoneLoss is what a fault on a zone's servers, or the ways to them, did to the fleet. Times are ms from the fault's
// start, and -1 where it never was.
type ZoneLoss struct {
	Zone      string  `json:"zone"`
	AtS       float64 `json:"at_s"`
	LeftMS    float64 `json:"left_ms"`     // the first directive to leave it
	ServedMS  float64 `json:"served_ms"`   // the last directive gone: served as ever
	StopP50MS float64 `json:"stop_p50_ms"` // a node's last attempt, or try that reached nobody, before the zone was back or on trial
	StopP95MS float64 `json:"stop_p95_ms"`
	SpreadMS  float64 `json:"spread_ms"` // between the first node that stopped and the one at p95
	Nodes     int     `json:"nodes"`     // that tried it at all
	Tries     int     `json:"tries"`     // that reached nobody
	Further   int     `json:"further"`   // attempts and tries of the whole fleet, less the requests attempted, until the zone was back
	Requests  int     `json:"requests"`  // sent until then
}

// Onboarding is a tenant's way to the nodes, in ms from the answer to its PUT.
type Onboarding struct {
	Tenant     string  `json:"tenant"`
	Generation uint64  `json:"generation"`
	Nodes      int     `json:"nodes"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
	AllMS      float64 `json:"all_ms"` // 0: never on all
}

// Detection is a planted drift and what became of it.
type Detection struct {
	Node  string  `json:"node"`
	State string  `json:"state"`
	MS    float64 `json:"ms"` // until the verdict; -1: none
	What  string  `json:"what"`
}

// Deaths is how long the members left took to see that one was silenced (killed or stopped), over all pairs.
type Deaths struct {
	Silenced int     `json:"silenced"` // members
	Pairs    int     `json:"pairs"`    // of one silenced and one left
	Missed   int     `json:"missed"`   // pairs that never came to dead
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	False    int     `json:"false"` // deaths seen of members that were not silenced, faults or not
}

func deaths(r *lab.Records) Deaths {
	at := map[int]time.Duration{}
	for _, s := range r.Silenced {
		if _, ok := at[s.Node]; !ok {
			at[s.Node] = s.At
		}
	}
	out := Deaths{Silenced: len(at), Pairs: len(at) * (len(r.Nodes) - len(at))}
	seen := map[[2]int]bool{}
	var took []float64
	for _, s := range r.Sightings {
		when, ok := at[s.Of]
		_, removed := at[s.By]
		switch {
		case s.State != "dead" || removed:
		case !ok:
			out.False++
		case s.At >= when && !seen[[2]int{s.By, s.Of}]:
			seen[[2]int{s.By, s.Of}] = true
			took = append(took, ms(s.At-when))
		}
	}
	sort.Float64s(took)
	out.Missed = out.Pairs - len(took)
	out.P50MS = rank(took, 0.5)
	out.P99MS = rank(took, 0.99)
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rank gives the q-th of sorted values, 0 where there are none.
func rank(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// zoneLosses gives one for each zone that a fault touched, by zone.
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
		l := ZoneLoss{Zone: z, AtS: at.Seconds(), LeftMS: -1, ServedMS: -1}
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
				l.ServedMS = ms(t.At - at)
			case t.Phase == "left" && l.LeftMS < 0:
				l.LeftMS = ms(t.At - at)
			case t.Phase == "probation":
				back = min(back, t.At)
			}
		}
		l.fill(r, at, back)
		out = append(out, l)
	}
	return out
}

// fill counts what nodes did from the fault until the zone was back.
func (l *ZoneLoss) fill(r *lab.Records, at, back time.Duration) {
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
		stops = append(stops, ms(t-at))
	}
	sort.Float64s(stops)
	l.Nodes = len(stops)
	l.StopP50MS = rank(stops, 0.5)
	l.StopP95MS = rank(stops, 0.95)
	l.SpreadMS = l.StopP95MS - rank(stops, 0)
}

func onboardings(r *lab.Records) []Onboarding {
	var out []Onboarding
	for _, o := range r.Onboarded {
		var v []float64
		for _, d := range o.Applied {
			v = append(v, ms(d))
		}
		sort.Float64s(v)
		out = append(out, Onboarding{o.Tenant, o.Generation, len(v), rank(v, 0.5), rank(v, 0.99), ms(o.All)})
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
				d.MS = ms(v.At - p.At)
				d.What = v.What
				break
			}
		}
		out = append(out, d)
	}
	return out
}
