package replica

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/golden"
)

// TestBodiesOnTheWire checks the encoding of bodies of the HTTP API.
func TestBodiesOnTheWire(t *testing.T) {
	golden.JSON[writeBody](t, "write")
	golden.JSON[zoneStatus](t, "zone")
}

var describedMetric = regexp.MustCompile(`fqName: "([^"]*)".*constLabels: \{(.*)\}, variableLabels: \{(.*)\}`)

// TestMetricNames checks the names and labels of the metrics.
func TestMetricNames(t *testing.T) {
	metrics := reflect.ValueOf(newFleetMetrics()).Elem()
	var lines []string
	for _, field := range metrics.Fields() {
		if !field.Type().Implements(reflect.TypeFor[prometheus.Collector]()) {
			continue
		}
		descs := make(chan *prometheus.Desc, 8)
		// Read the unexported field through its address.
		reflect.NewAt(field.Type(), field.Addr().UnsafePointer()).Elem().Interface().(prometheus.Collector).Describe(descs)
		close(descs)
		for desc := range descs {
			m := describedMetric.FindStringSubmatch(desc.String())
			if m == nil {
				t.Fatalf("unexpected metric description: %s", desc)
			}
			lines = append(lines, fmt.Sprintf("%s {%s} {%s}\n", m[1], m[2], m[3]))
		}
	}
	slices.Sort(lines)
	golden.Check(t, "metrics.txt", []byte(strings.Join(lines, "")))
}
