package agent

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"meadowsill/internal/fleet"
)

// capacitySizes are numbers of tenants on the way to the plan of docs/CAPACITY.md, 170,000 tenants. The last size is close to the
// maximum of one answer: fleet.DecodeIntent rejects more than 16,384 items.
var capacitySizes = []int{1000, 4000, 8000, 16_000}

// benchIntent returns a complete answer with n small tenants.
func benchIntent(b *testing.B, n int) fleet.Intent {
	intent := fleet.Intent{Revision: uint64(n), Full: true}
	for i := range n {
		spec := fleet.Spec{Name: fmt.Sprintf("tenant-%06d", i), Quota: fleet.Quota{Rate: 10, Burst: 20},
			Routes: []fleet.Route{{Kind: fmt.Sprintf("svc-%03d", i%550), Weight: 1}}, Fallback: "refuse"}
		body, err := json.Marshal(fleet.Tenant{UID: uint64(i + 1),
			Committed: &fleet.Generation{Number: 1, Spec: spec, Digest: "0123456789abcdef"}})
		if err != nil {
			b.Fatal(err)
		}
		intent.Items = append(intent.Items, fleet.Item{Key: "tenant/" + spec.Name, Revision: uint64(i + 1), Body: body})
	}
	return intent
}

func benchEach(b *testing.B, run func(b *testing.B, intent fleet.Intent, loaded *IntentCopy)) {
	for _, n := range capacitySizes {
		intent := benchIntent(b, n)
		loaded := &IntentCopy{}
		if _, err := loaded.Apply(intent); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) { run(b, intent, loaded) })
	}
}

// BenchmarkCapacityReadOneChange reads the answer to a node that lacks the newest change.
func BenchmarkCapacityReadOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, loaded *IntentCopy) {
		for b.Loop() {
			loaded.Read(loaded.Revision-1, nil)
		}
	})
}

// BenchmarkCapacityTakeOneChange applies one changed tenant.
func BenchmarkCapacityTakeOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, intent fleet.Intent, _ *IntentCopy) {
		fresh := &IntentCopy{} // a copy for this run only, so that the changes do not add up
		if _, err := fresh.Apply(intent); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			changed := intent.Items[0]
			changed.Revision = fresh.Revision + 1
			if _, err := fresh.Apply(fleet.Intent{Revision: changed.Revision, Items: []fleet.Item{changed}}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityApplyComplete applies a complete answer to an empty copy.
func BenchmarkCapacityApplyComplete(b *testing.B) {
	benchEach(b, func(b *testing.B, intent fleet.Intent, _ *IntentCopy) {
		for b.Loop() {
			empty := &IntentCopy{}
			if _, err := empty.Apply(intent); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// encodeCopy returns the content of the file that holds the whole copy as a base.
func encodeCopy(b *testing.B, loaded *IntentCopy) []byte {
	complete := loaded.Read(0, nil)
	raw, err := encodeBase(baseRecord{Node: "n1", Revision: complete.Revision, Items: complete.Items})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkCapacityEncode encodes the copy as it is on disk, and reports its size.
func BenchmarkCapacityEncode(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, loaded *IntentCopy) {
		size := 0
		for b.Loop() {
			size = len(encodeCopy(b, loaded))
		}
		b.ReportMetric(float64(size), "copy-B")
	})
}

// BenchmarkCapacityDecode decodes a copy, as the agent does at each start.
func BenchmarkCapacityDecode(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, loaded *IntentCopy) {
		raw := encodeCopy(b, loaded)
		for b.Loop() {
			if _, err := decodeCopy(raw, "n1"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacitySaveOneChange saves a change of one tenant to disk, which now and then includes writing a new base. It
// reports the bytes written for each change. Its time includes waiting for the disk.
func BenchmarkCapacitySaveOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, intent fleet.Intent, _ *IntentCopy) {
		fresh := &IntentCopy{}
		if _, err := fresh.Apply(intent); err != nil {
			b.Fatal(err)
		}
		f, _, err := openCopyFile(b.TempDir(), "n1", nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := f.save(fresh.Read(0, nil), false); err != nil {
			b.Fatal(err)
		}
		written := 0
		for b.Loop() {
			changed := intent.Items[0]
			changed.Revision = fresh.Revision + 1
			if _, err := fresh.Apply(fleet.Intent{Revision: changed.Revision, Items: []fleet.Item{changed}}); err != nil {
				b.Fatal(err)
			}
			bytes, err := f.save(fresh.Read(f.deltaSince(), nil), false)
			if err != nil {
				b.Fatal(err)
			}
			written += bytes
		}
		b.ReportMetric(float64(written)/float64(b.N), "disk-B")
	})
}

// BenchmarkCapacityHeap reports the live heap of a copy decoded from a replica's answer. Its time is that of decoding and applying.
func BenchmarkCapacityHeap(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			raw, err := json.Marshal(benchIntent(b, n))
			if err != nil {
				b.Fatal(err)
			}
			live := 0.0
			for b.Loop() {
				before := liveHeap()
				decoded, err := fleet.DecodeIntent(raw)
				if err != nil {
					b.Fatal(err)
				}
				loaded := &IntentCopy{}
				if _, err := loaded.Apply(decoded); err != nil {
					b.Fatal(err)
				}
				live = liveHeap() - before
				runtime.KeepAlive(loaded)
			}
			b.ReportMetric(live, "heap-B")
			runtime.KeepAlive(raw)
		})
	}
}

// liveHeap returns the bytes of live objects on the heap. The second collection makes sure that the garbage found by the first is swept.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
