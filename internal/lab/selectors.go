package lab

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// zone returns the zone of the i-th node, agent, replica or server. They are assigned to the zones in turn.
func (s *Scenario) zone(i int) string { return s.Fleet.Zones[i%len(s.Fleet.Zones)] }

// checkRegions returns an error if a region names an unknown zone, or a zone that another region has.
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

// zoneMatches reports whether zone matches the selector text: "zone:NAME", "not-zone:NAME" or "region:NAME". ok reports whether
// text is such a selector and names a zone or region of the fleet.
func (s *Scenario) zoneMatches(text, zone string) (hit, ok bool) {
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

// checkEvent returns an error if an event has an invalid selector, share or state, or lacks something that its action needs.
func (s *Scenario) checkEvent(e Event) error {
	replicated := s.Fleet.Discovery == "replicated"
	agents, replicas := s.agentCount(), s.replicaCount()
	for _, selector := range []struct {
		text  string
		count int
	}{{e.Nodes, s.Fleet.Nodes}, {e.Servers, s.Fleet.Servers}, {e.Agents, agents}} {
		if _, err := s.resolveSelector(selector.text, selector.count); err != nil {
			return err
		}
	}
	if e.Replicas != "" && (e.Replicas != "leader" || !replicated) {
		if _, err := s.resolveSelector(e.Replicas, replicas); err != nil {
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

// agentCount returns the number of agents in the fleet.
func (s *Scenario) agentCount() int {
	if s.Fleet.Discovery == "replicated" || s.Fleet.Gossip {
		return s.Fleet.Nodes
	}
	return 0
}

// replicaCount returns the number of replicas in the fleet.
func (s *Scenario) replicaCount() int {
	if s.Fleet.Discovery == "replicated" {
		return s.Fleet.Replicas
	}
	return 0
}

// checkLinkEnd returns an error if end, one of the two selectors of an event's "between", is invalid.
func (s *Scenario) checkLinkEnd(end string) error {
	kind, selector, _ := strings.Cut(end, ":")
	var err error
	switch kind {
	case "clients", "discovery":
	case "nodes":
		_, err = s.resolveSelector(selector, s.Fleet.Nodes)
	case "servers":
		_, err = s.resolveSelector(selector, s.Fleet.Servers)
	case "agents":
		_, err = s.resolveSelector(selector, s.agentCount())
	case "replicas":
		if selector != "leader" {
			_, err = s.resolveSelector(selector, s.replicaCount())
		}
	case "zone", "not-zone", "region":
		if selector != "leader" || kind == "region" || s.Fleet.Discovery != "replicated" {
			_, err = s.resolveSelector(end, s.Fleet.Nodes)
		}
	default:
		err = fmt.Errorf("between: %q is none of clients, discovery and nodes:, servers:, agents:, replicas:, zone:, not-zone: or region: with a selector", end)
	}
	return err
}

// resolveValid is resolveSelector for a selector that is known to be valid.
func (s *Scenario) resolveValid(text string, n int) []int {
	out, _ := s.resolveSelector(text, n)
	return out
}

// resolveSelector returns the indexes that a selector names among n items, which are assigned to the zones in turn. It takes
// the selectors of Select and "zone:NAME", "not-zone:NAME" and "region:NAME".
func (s *Scenario) resolveSelector(text string, n int) ([]int, error) {
	if !strings.Contains(text, ":") {
		return Select(text, n)
	}
	if _, ok := s.zoneMatches(text, ""); !ok {
		return nil, fmt.Errorf("%q is no zone or region of the fleet's", text)
	}
	var out []int
	for i := range n {
		if hit, _ := s.zoneMatches(text, s.zone(i)); hit {
			out = append(out, i)
		}
	}
	return out, nil
}

// Select returns the indexes that a selector names among n items: "" none, "all", "3" one, "2-5" a range, "0.7" the first 0.7 of
// the items, rounded.
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
