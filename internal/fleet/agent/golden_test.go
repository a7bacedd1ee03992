package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
	"meadowsill/internal/golden"
)

// The encoding of the durable copy's records is unchanged.
func TestRecordBytes(t *testing.T) {
	golden.JSON[baseRecord](t, "base")
	golden.JSON[differenceRecord](t, "difference")
	golden.JSON[scopedTenant](t, "scoped-tenant")
}

// A complete file of the durable copy, a base and two deltas, is encoded and decoded, and the result is encoded as a base. The bytes of
// both files are unchanged.
func TestCopyFileBytes(t *testing.T) {
	directive, err := json.Marshal(fleet.Directive{Phase: fleet.Evacuated, Share: 0.5, ValidMS: 5000, Reason: "lost"})
	if err != nil {
		t.Fatal(err)
	}
	lease, err := json.Marshal(fleet.QuotaLease{Epoch: 3, Incarnation: 7, Slots: 4, Rates: map[string]float64{"a": 2.5}})
	if err != nil {
		t.Fatal(err)
	}
	base := baseRecord{Node: "n1", Services: []string{"billing"}, Revision: 5, Items: []fleet.Item{{Key: "share/n1", Revision: 4, Body: lease}}}
	deltas := []differenceRecord{
		{Since: 5, Revision: 6, Items: []fleet.Item{{Key: "zone/a", Revision: 6, Body: directive}}},
		{Since: 6, Revision: 9, Items: []fleet.Item{{Key: "zone/a", Revision: 9, Removed: true}}},
	}
	file, err := encodeBase(base)
	if err != nil {
		t.Fatal(err)
	}
	for _, delta := range deltas {
		if file, err = appendRecord(file, delta); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "intent.copy", file)
	stored, err := decodeCopy(file, "n1")
	if err != nil || stored.copy.Revision != 9 || stored.truncated || !slices.Equal(stored.services, base.Services) {
		t.Fatalf("%+v, %v", stored, err)
	}
	content := stored.copy.Read(0, nil)
	complete, err := encodeBase(baseRecord{Node: "n1", Services: stored.services, Revision: content.Revision, Items: content.Items})
	if err != nil || !bytes.Contains(complete, lease) {
		t.Fatalf("%v: %s", err, complete)
	}
	golden.Check(t, "intent.copy.base", complete)
}

var metricPattern = regexp.MustCompile(`fqName: "([^"]*)".*constLabels: \{(.*)\}, variableLabels: \{(.*)\}`)

// metricRecorder is a registerer that records the descriptions of registered metrics.
type metricRecorder struct {
	prometheus.Registerer
	lines []string
}

func (r *metricRecorder) MustRegister(all ...prometheus.Collector) {
	for _, c := range all {
		descs := make(chan *prometheus.Desc, 8)
		c.Describe(descs)
		close(descs)
		for desc := range descs {
			m := metricPattern.FindStringSubmatch(desc.String())
			r.lines = append(r.lines, fmt.Sprintf("%s {%s} {%s}\n", m[1], m[2], m[3]))
		}
	}
}

// The names and labels of the metrics are unchanged.
func TestMetricNames(t *testing.T) {
	r := &metricRecorder{}
	newMetrics(r)
	slices.Sort(r.lines)
	golden.Check(t, "metrics.txt", []byte(strings.Join(r.lines, "")))
}
