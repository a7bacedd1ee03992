package registry

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Numbers of app servers up to the plan of docs/CAPACITY.md; the last is the planned number.
var benchSizes = []int{1000, 5000, 13_000, 26_000}

// benchState returns a list of n registered servers.
func benchState(b *testing.B, n int) *State {
	state := New(1000)
	for i := range n {
		command := Command{Op: Register, TTLMS: 6000, NowMS: 1, Entry: Entry{ID: fmt.Sprintf("s-%08d", i),
			Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%02d", i%18),
			Kind: fmt.Sprintf("svc-%03d", i%550), State: "ready", Weight: 1, StartedMS: 1}}
		if _, err := state.Apply(command); err != nil {
			b.Fatal(err)
		}
	}
	return state
}

func benchEach(b *testing.B, run func(b *testing.B, state *State)) {
	for _, n := range benchSizes {
		state := benchState(b, n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) { run(b, state) })
	}
}

// BenchmarkCapacityReadOneChange measures the answer to a watch that lacks only the newest change.
func BenchmarkCapacityReadOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.Read(state.ListRevision-1, true)
		}
	})
}

// BenchmarkCapacityReadComplete measures a read of the complete list.
func BenchmarkCapacityReadComplete(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.Read(0, false)
		}
	})
}

// BenchmarkCapacityEncodeComplete measures the encoding of the complete list as JSON, and reports the size of the JSON.
func BenchmarkCapacityEncodeComplete(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		answer := state.Read(0, false)
		body := 0
		for b.Loop() {
			raw, err := json.Marshal(answer)
			if err != nil {
				b.Fatal(err)
			}
			body = len(raw)
		}
		b.ReportMetric(float64(body), "body-B")
	})
}

// BenchmarkCapacitySweep measures an expiry command that finds no lapsed lease.
func BenchmarkCapacitySweep(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.Apply(Command{Op: Expire, NowMS: 2})
		}
	})
}

// BenchmarkCapacityNextExpiry measures NextExpiry, which the leader calls at each sweep.
func BenchmarkCapacityNextExpiry(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.NextExpiry()
		}
	})
}

// BenchmarkCapacitySnapshot measures the encoding of the list's snapshot, and reports the snapshot's size.
func BenchmarkCapacitySnapshot(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		size := 0
		for b.Loop() {
			raw, err := state.Snapshot(nil)
			if err != nil {
				b.Fatal(err)
			}
			size = len(raw)
		}
		b.ReportMetric(float64(size), "snapshot-B")
	})
}
