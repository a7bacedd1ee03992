package lab

import (
	"strings"
	"testing"

	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/stub"
)

// newTestFleet returns a fleet of four nodes, three servers and three replicas over two zones, with a link of each kind.
func newTestFleet(t *testing.T) *fleet {
	t.Helper()
	s, err := ParseScenario("x", []byte("[fleet]\nnodes = 4\nservers = 3\nzones = [\"a\", \"b\"]\ndiscovery = \"replicated\"\nregions = {north = [\"b\"]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{s: s}
	for index, name := range []string{"n0", "n1", "n2", "n3"} {
		f.nodes = append(f.nodes, &node{index: index, info: &NodeInfo{Name: name, Zone: s.zone(index)}})
	}
	for j := range 3 {
		f.servers = append(f.servers, &stub.AppServer{Spec: stub.ServerSpec{ID: serverID(j), Zone: s.zone(j)}})
	}
	for _, l := range []*faults.Link{{From: "clients", To: "n1"}, {From: "n1", To: "server:" + serverID(0)}, {From: "n2", To: agentName(2)},
		{From: agentName(2), To: "r1"}, {From: "r0", To: "r1"}, {From: "r1", To: "r2"}, {From: agentName(0), To: agentName(1)}} {
		f.net.Add(l)
	}
	return f
}

// TestSelectorsMatchLinks checks which links each pair of selectors matches, by the names of the links' ends.
func TestSelectorsMatchLinks(t *testing.T) {
	f := newTestFleet(t)
	s0 := "server:" + serverID(0)
	for _, c := range []struct{ a, b, want string }{
		{"clients", "nodes:all", "clients-n1"},
		{"clients", "nodes:zone:a", ""},
		{"zone:b", "clients", "clients-n1"},
		{"nodes:1-2", "servers:all", "n1-" + s0},
		{"zone:b", "zone:a", "n1-" + s0 + " agent:n2-r1 r0-r1 r1-r2 agent:n0-agent:n1"},
		{"zone:a", "not-zone:a", "n1-" + s0 + " agent:n2-r1 r0-r1 r1-r2 agent:n0-agent:n1"},
		{"region:north", "servers:all", "n1-" + s0},
		{"nodes:2", "discovery", "n2-agent:n2"},
		{"nodes:2", "agents:2", "n2-agent:n2"},
		{"agents:zone:a", "replicas:all", "agent:n2-r1"},
		{"replicas:0", "replicas:1-2", "r0-r1"},
		{"agents:all", "agents:all", "agent:n0-agent:n1"},
		{"nodes:3", "servers:all", ""},
	} {
		var hit []string
		f.net.Each(func(l *faults.Link) bool {
			if f.matches(c.a, l.From) && f.matches(c.b, l.To) || f.matches(c.b, l.From) && f.matches(c.a, l.To) {
				hit = append(hit, l.From+"-"+l.To)
			}
			return false
		}, faults.Fault{})
		if got := strings.Join(hit, " "); got != c.want {
			t.Errorf("%s, %s: %q, want %q", c.a, c.b, got, c.want)
		}
	}
}

func TestParseScenarioChecksEvents(t *testing.T) {
	for text, want := range map[string]string{
		`do = "kill"` + "\nnodes = \"zone:c\"":                       `"zone:c" is no zone or region`,
		`do = "kill"` + "\nagents = \"0\"":                           `selector "0" is not one of 0--1`,
		`do = "kill"` + "\nreplicas = \"leader\"":                    `selector "leader"`,
		`do = "link"` + "\nbetween = [\"clients\", \"moon:all\"]":    `"moon:all" is none of`,
		`do = "link"` + "\nbetween = [\"zone:leader\", \"clients\"]": `"zone:leader" is no zone`,
		`do = "list"` + "\nservers = \"0\"\nstate = \"up\"":          `state "up"`,
		`do = "link"` + "\nloss = 1.5":                               "loss and reorder are shares",
	} {
		if _, err := ParseScenario("x", []byte("[[events]]\nat_s = 1\n"+text+"\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
