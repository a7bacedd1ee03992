package simulated

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// applyCommitted makes the node serve exactly the committed generations that it holds.
func (n *Node) applyCommitted() {
	if n.Keep {
		return
	}
	committed := map[string]fleet.Generation{}
	for key, it := range n.Held {
		var t fleet.Tenant
		if name, ok := bytes.CutPrefix([]byte(key), []byte("tenant/")); ok {
			json.Unmarshal(it.Body, &t)
			n.UIDs[string(name)] = t.UID
			if t.Committed != nil && !t.Removing {
				committed[string(name)] = *t.Committed
			}
		}
	}
	n.serving = committed
}

// nextReport builds the node's next report. The caller must hold n.mu.
func (n *Node) nextReport() fleet.Report {
	n.seq++
	n.applyCommitted()
	r := fleet.Report{
		Member:   fleet.Member{Node: n.Name, Zone: n.Zone, Incarnation: n.incarnation},
		Services: n.Services,
		Sequence: n.seq,
		Revision: n.revision,
		Ready:    true,
		WindowMS: 100,
	}
	if n.Counts != nil {
		r.Zones = n.Counts()
	}
	for key, it := range n.Held {
		name, ok := bytes.CutPrefix([]byte(key), []byte("tenant/"))
		if !ok {
			continue
		}
		var t fleet.Tenant
		json.Unmarshal(it.Body, &t)
		generation := n.serving[string(name)]
		ack := fleet.TenantAck{Name: string(name), UID: t.UID, Committed: generation.Number, Digest: generation.Digest}
		switch {
		case t.Staged == nil || n.Slow:
		case n.Refuse != "":
			ack.RejectReason = n.Refuse
		default:
			ack.Staged, ack.Digest = t.Staged.Number, t.Staged.Digest
		}
		r.Tenants = append(r.Tenants, ack)
	}
	items := slices.Collect(maps.Values(n.Held))
	appliedItems, err := drift.Expect(drift.Intended{Revision: n.revision, Items: items}, r.Member)
	if err != nil {
		n.violations = append(n.violations, err.Error())
	}
	if n.Odd != nil {
		appliedItems = n.Odd(appliedItems)
	}
	drift.FillReport(&r, appliedItems, n.wantedKeys)
	n.wantedKeys = nil
	slices.SortFunc(r.Tenants, func(a, b fleet.TenantAck) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return r
}

// postReports sends reports to the agent, as a node does, until the node is closed.
func (n *Node) postReports() {
	for n.sleep(n.reportInterval()) {
		n.mu.Lock()
		if n.Silent || n.agentDown {
			n.mu.Unlock()
			continue
		}
		raw, _ := json.Marshal(n.nextReport())
		n.mu.Unlock()
		resp, err := client.Post("http://"+n.Agent+"/fleet/v1/report", "application/json", bytes.NewReader(raw))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		n.mu.Lock()
		n.lastAnswer = fmt.Sprintf("%d %s", resp.StatusCode, text)
		var ans fleet.ReportAnswer
		if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &ans) == nil {
			n.wantedKeys, n.Out = ans.WantedKeys, ans.NotReady
		}
		n.mu.Unlock()
	}
}

// World returns a function for Behaviour.Counts. The evidence of zones za, zb and zc follows the directives that the node holds, and all
// attempts at zone are lost while lost is true.
func (n *Node) World(zone string, lost *atomic.Bool) func() []fleet.ZoneEvidence {
	return func() []fleet.ZoneEvidence {
		var out []fleet.ZoneEvidence
		for _, z := range []string{"za", "zb", "zc"} {
			attempts := 8
			if d, ok := n.directiveLocked("zone/" + z); ok {
				attempts = int(d.Share * 8)
				switch {
				case d.Share > 0:
					attempts = max(attempts, 1)
				case d.Phase == fleet.Probation && slices.Contains(d.TrialNodes, n.Name):
					attempts = 2
				}
			}
			c := fleet.ZoneEvidence{Zone: z, Attempts: attempts, Servers: min(attempts, 4), Answered: attempts, Listed: 4, Started: attempts, Rate: 20}
			if z == zone && lost.Load() {
				c.Lost = c.Attempts
				c.LostServers = c.Servers
				c.Answered = 0
			}
			if attempts > 0 {
				out = append(out, c)
			} else {
				out = append(out, fleet.ZoneEvidence{Zone: z, Listed: 4})
			}
		}
		return out
	}
}

func (n *Node) reportInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Every > 0 {
		return n.Every
	}
	return 150 * time.Millisecond
}
