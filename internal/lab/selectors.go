package lab

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// zone is the zone of the i-th node, agent, replica or server: they are spread over the zones in turn.
func (s *Scenario) zone(i int) string { return s.Fleet.Zones[i%len(s.Fleet.Zones)] }

// checkRegions says what is wrong with the regions.
func (s *Scenario) checkRegions() error {
	in := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Fleet.Regions)) {
		for _, z := range s.Fleet.Regions[name] {
			if !slices.Contains(s.Fleet.Zones, z) {
				return fmt.Errorf("fleet.regions.%s: zone %q is none of the fleet's", name, z)
			}
			if in[z] != "" {
				return fmt.Errorf("fleet.regions.%s: zone %q is in %s already", name, z, in[z])
			}
			in[z] = name
		}
	}
	return nil
}

// within says whether a zone falls under "zone:NAME", "not-zone:NAME" or "region:NAME", and whether that is what text
// is, of zones and regions that the fleet has.
func (s *Scenario) within(text, zone string) (hit, ok bool) {
	kind, name, _ := strings.Cut(text, ":")
	switch kind {
	case "zone":
		return zone == name, slices.Contains(s.Fleet.Zones, name)
	case "not-zone":
		return zone != "" && zone != name, slices.Contains(s.Fleet.Zones, name)
	case "region":
		return slices.Contains(s.Fleet.Regions[name], zone), s.Fleet.Regions[name] != nil
	}
	return false, false
}

// checkEvent says what is wrong with an event's selectors, shares or states.
func (s *Scenario) checkEvent(e Event) error {
	replicated := s.Fleet.Discovery == "replicated"
	agents, replicas := s.agentCount(), s.replicaCount()
	for _, selector := range []struct {
		text  string
		count int
	}{{e.Nodes, s.Fleet.Nodes}, {e.Servers, s.Fleet.Servers}, {e.Agents, agents}} {
		if _, err := s.selected(selector.text, selector.count); err != nil {
			return err
		}
	}
	if e.Replicas != "" && (e.Replicas != "leader" || !replicated) {
		if _, err := s.selected(e.Replicas, replicas); err != nil {
			return err
		}
	}
	if e.Zone != "" && !slices.Contains(s.Fleet.Zones, e.Zone) {
		return fmt.Errorf("zone %q is none of the fleet's", e.Zone)
	}
	if e.Do == "list" && e.State != "ready" && e.State != "draining" && e.State != "gone" {
		return fmt.Errorf("state %q is none of ready, draining, gone", e.State)
	}
	if strings.HasPrefix(e.Do, "tenant") && (!s.Fleet.Control || e.Tenant == "") || e.Do == "drift" && !s.Fleet.Control {
		return fmt.Errorf("%s needs fleet.control, and a tenant its name", e.Do)
	}
	if e.Loss < 0 || e.Loss > 1 || e.Reorder < 0 || e.Reorder > 1 || e.Truncate < 0 {
		return errors.New("loss and reorder are shares within 0 and 1, truncate is not below 0")
	}
	if e.Between == [2]string{} {
		return nil
	}
	for _, end := range e.Between {
		if err := s.checkLinkEnd(end); err != nil {
			return err
		}
	}
	return nil
}

// agentCount is how many agents the fleet has.
func (s *Scenario) agentCount() int {
	if s.Fleet.Discovery == "replicated" || s.Fleet.Gossip {
		return s.Fleet.Nodes
	}
	return 0
}

// replicaCount is how many replicas the fleet has.
func (s *Scenario) replicaCount() int {
	if s.Fleet.Discovery == "replicated" {
		return s.Fleet.Replicas
	}
	return 0
}

// checkLinkEnd says what is wrong with one of the two groups that an event's links are between.
func (s *Scenario) checkLinkEnd(end string) error {
	kind, selector, _ := strings.Cut(end, ":")
	var err error
	switch kind {
	case "clients", "discovery":
	case "nodes":
		_, err = s.selected(selector, s.Fleet.Nodes)
	case "servers":
		_, err = s.selected(selector, s.Fleet.Servers)
	case "agents":
		_, err = s.selected(selector, s.agentCount())
	case "replicas":
		if selector != "leader" {
			_, err = s.selected(selector, s.replicaCount())
		}
	case "zone", "not-zone", "region":
		if selector != "leader" || kind == "region" || s.Fleet.Discovery != "replicated" {
			_, err = s.selected(end, s.Fleet.Nodes)
		}
	default:
		err = fmt.Errorf("between: %q is none of clients, discovery and nodes:, servers:, agents:, replicas:, zone:, not-zone: or region: with a selector", end)
	}
	return err
}

// pick is selected for a selector known to be good.
func (s *Scenario) pick(text string, n int) []int {
	out, _ := s.selected(text, n)
	return out
}

// selected reads a selector over n things spread over the zones in turn: as Select, and "zone:NAME", "not-zone:NAME"
// and "region:NAME".
func (s *Scenario) selected(text string, n int) ([]int, error) {
	if !strings.Contains(text, ":") {
		return Select(text, n)
	}
	if _, ok := s.within(text, ""); !ok {
		return nil, fmt.Errorf("%q is no zone or region of the fleet's", text)
	}
	var out []int
	for i := range n {
		if hit, _ := s.within(text, s.zone(i)); hit {
			out = append(out, i)
		}
	}
	return out, nil
}

// Select reads a selector over n things: "" none, "all", "3" one, "2-5" a range, "0.7" a share from the first.
func Select(text string, n int) ([]int, error) {
	var out []int
	switch {
	case text == "":
	case text == "all":
		for i := range n {
			out = append(out, i)
		}
	case strings.Contains(text, "-"):
		a, b, _ := strings.Cut(text, "-")
		lo, err1 := strconv.Atoi(a)
		hi, err2 := strconv.Atoi(b)
		if err1 != nil || err2 != nil || lo > hi || lo < 0 || hi >= n {
			return nil, fmt.Errorf("selector %q is not a range within 0-%d", text, n-1)
		}
		for i := lo; i <= hi; i++ {
			out = append(out, i)
		}
	case strings.Contains(text, "."):
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f <= 0 || f > 1 {
			return nil, fmt.Errorf("selector %q is not a share within 0 and 1", text)
		}
		for i := range int(f*float64(n) + 0.5) {
			out = append(out, i)
		}
	default:
		i, err := strconv.Atoi(text)
		if err != nil || i < 0 || i >= n {
			return nil, fmt.Errorf("selector %q is not one of 0-%d", text, n-1)
		}
		out = []int{i}
	}
	return out, nil
}
