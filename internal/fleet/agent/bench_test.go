package agent

import (
	"encoding/json"
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
)

// benchSizes are the numbers of tenants with which the copy is measured.
var benchSizes = []int{300, 5000, 20_000}

// benchTenant returns a small tenant, as most tenants are.
func benchTenant(i int, rev uint64) fleet.Item {
	name := fmt.Sprintf("tenant-%06d", i)
	body, err := json.Marshal(fleet.Tenant{UID: uint64(i + 1), Committed: &fleet.Generation{Number: rev, Digest: "0123456789abcdef",
		Spec: fleet.Spec{Name: name, Quota: fleet.Quota{Rate: 100, Burst: 200}}}})
	if err != nil {
		panic(err)
	}
	return fleet.Item{Key: fleet.KeyTenant + name, Revision: rev, Body: body}
}

// benchComplete returns a complete answer with the given number of tenants.
func benchComplete(size int) fleet.Intent {
	in := fleet.Intent{Revision: uint64(size), Full: true}
	for i := range size {
		in.Items = append(in.Items, benchTenant(i, uint64(i+1)))
	}
	return in
}

// benchChange returns an answer that changes one tenant.
func benchChange(size int, rev uint64) fleet.Intent {
	return fleet.Intent{Revision: rev, Items: []fleet.Item{benchTenant(int(rev)%size, rev)}}
}

// benchCopy runs a benchmark for each size, on a copy with that number of tenants.
func benchCopy(b *testing.B, run func(b *testing.B, c *IntentCopy, size int)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("tenants=%d", size), func(b *testing.B) {
			c := &IntentCopy{}
			if _, err := c.Apply(benchComplete(size)); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, c, size)
		})
	}
}

// BenchmarkApplyChange applies an answer that changes one tenant.
func BenchmarkApplyChange(b *testing.B) {
	benchCopy(b, func(b *testing.B, c *IntentCopy, size int) {
		for b.Loop() {
			if _, err := c.Apply(benchChange(size, c.Revision+1)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkRead answers a watch with the one tenant that changed.
func BenchmarkRead(b *testing.B) {
	benchCopy(b, func(b *testing.B, c *IntentCopy, size int) {
		if _, err := c.Apply(benchChange(size, c.Revision+1)); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if in := c.Read(c.Revision-1, nil); len(in.Items) != 1 {
				b.Fatal(len(in.Items))
			}
		}
	})
}

// BenchmarkSave saves a change of one tenant to disk, as the agent does after each change.
func BenchmarkSave(b *testing.B) {
	benchCopy(b, func(b *testing.B, c *IntentCopy, size int) {
		f, _, err := openCopyFile(b.TempDir(), "n", nil)
		if err != nil {
			b.Fatal(err)
		}
		written := 0
		for b.Loop() {
			if _, err := c.Apply(benchChange(size, c.Revision+1)); err != nil {
				b.Fatal(err)
			}
			bytes, err := f.save(c.Read(f.deltaSince(), nil), false)
			if err != nil {
				b.Fatal(err)
			}
			written += bytes
		}
		b.ReportMetric(float64(written)/float64(b.N), "disk-B/op")
	})
}
