package agent

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"meadowsill/internal/fleet"
)

// The sizes are steps towards the plan of docs/CAPACITY.md, 170,000 tenants. The last is all that one answer may hold:
// fleet.DecodeIntent rejects more than 16,384 items.
var capacitySizes = []int{1000, 4000, 8000, 16_000}

// benchIntent is a complete answer with n small tenants.
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

func benchEach(b *testing.B, run func(b *testing.B, intent fleet.Intent, held *IntentCopy)) {
	for _, n := range capacitySizes {
		intent := benchIntent(b, n)
		held := &IntentCopy{}
		if _, err := held.Apply(intent); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) { run(b, intent, held) })
	}
}

// BenchmarkCapacityReadOneChange is the answer to a node that lacks the newest change.
func BenchmarkCapacityReadOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, held *IntentCopy) {
		for b.Loop() {
			held.Read(held.Revision-1, nil)
		}
	})
}

// BenchmarkCapacityTakeOneChange brings one changed tenant in.
func BenchmarkCapacityTakeOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, intent fleet.Intent, _ *IntentCopy) {
		own := &IntentCopy{} // the changes are of this run alone
		if _, err := own.Apply(intent); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			changed := intent.Items[0]
			changed.Revision = own.Revision + 1
			if _, err := own.Apply(fleet.Intent{Revision: changed.Revision, Items: []fleet.Item{changed}}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityApplyComplete brings a complete answer into an empty copy.
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

// encodeCopy is a copy as it lies on disk after its whole base was written.
func encodeCopy(b *testing.B, held *IntentCopy) []byte {
	complete := held.Read(0, nil)
	raw, err := encodeBase(baseRecord{Node: "n1", Revision: complete.Revision, Items: complete.Items})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkCapacityEncode is the copy as it lies on disk, whose size it reports.
func BenchmarkCapacityEncode(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, held *IntentCopy) {
		size := 0
		for b.Loop() {
			size = len(encodeCopy(b, held))
		}
		b.ReportMetric(float64(size), "copy-B")
	})
}

// BenchmarkCapacityDecode reads a copy back, as each start does.
func BenchmarkCapacityDecode(b *testing.B) {
	benchEach(b, func(b *testing.B, _ fleet.Intent, held *IntentCopy) {
		raw := encodeCopy(b, held)
		for b.Loop() {
			if _, err := decodeCopy(raw, "n1"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacitySaveOneChange makes a change of one tenant durable, the write of a new base now and then among it. It
// reports the bytes written for each. Its time has the wait for the disk in it.
func BenchmarkCapacitySaveOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, intent fleet.Intent, _ *IntentCopy) {
		own := &IntentCopy{}
		if _, err := own.Apply(intent); err != nil {
			b.Fatal(err)
		}
		d, _, err := openCopyFile(b.TempDir(), "n1", nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := d.save(own.Read(0, nil), false); err != nil {
			b.Fatal(err)
		}
		written := 0
		for b.Loop() {
			changed := intent.Items[0]
			changed.Revision = own.Revision + 1
			if _, err := own.Apply(fleet.Intent{Revision: changed.Revision, Items: []fleet.Item{changed}}); err != nil {
				b.Fatal(err)
			}
			bytes, err := d.save(own.Read(d.deltaSince(), nil), false)
			if err != nil {
				b.Fatal(err)
			}
			written += bytes
		}
		b.ReportMetric(float64(written)/float64(b.N), "disk-B")
	})
}

// BenchmarkCapacityHeap reports the live heap of a copy that was decoded from a replica's answer. Its time is that of making it.
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
				held := &IntentCopy{}
				if _, err := held.Apply(decoded); err != nil {
					b.Fatal(err)
				}
				live = liveHeap() - before
				runtime.KeepAlive(held)
			}
			b.ReportMetric(live, "heap-B")
			runtime.KeepAlive(raw)
		})
	}
}

// liveHeap is what the heap holds after a collection. Two make sure that what the first found dead is swept.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
