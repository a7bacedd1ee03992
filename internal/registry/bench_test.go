package registry

import (
	"fmt"
	"testing"
)

// benchmarkSizes are the numbers of app servers in the list; the last is the planned number.
var benchmarkSizes = []int{1_000, 5_000, 13_000, 26_000}

// benchmarkStart is the leader's clock when the first server of a benchmark registers, in Unix ms.
const benchmarkStart = 1_000_000

// populated returns a list of n servers. Their leases are 60 s long and lapse at intervals of 1 ms.
func populated(tb testing.TB, n int) *State {
	tb.Helper()
	s := New(1000)
	for i := range n {
		e := entry(fmt.Sprintf("server-%06d", i))
		if _, err := s.Apply(Command{Op: Register, Entry: e, TTLMS: MaxTTLMS, NowMS: benchmarkStart + int64(i)}); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// BenchmarkReadWatch measures the cost of a change for each watcher: a read of one changed server.
func BenchmarkReadWatch(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if a := s.Read(s.Revision-1, true); len(a.Servers) != 1 {
					b.Fatalf("%d servers, want 1", len(a.Servers))
				}
			}
		})
	}
}

// BenchmarkReadComplete measures a read of the complete list.
func BenchmarkReadComplete(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if a := s.Read(0, false); len(a.Servers) != n {
					b.Fatalf("%d servers, want %d", len(a.Servers), n)
				}
			}
		})
	}
}

// BenchmarkNextExpiry measures NextExpiry, which the leader calls ten times a second.
func BenchmarkNextExpiry(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.NextExpiry()
			}
		})
	}
}

// BenchmarkExpireOne measures the expiry of one lease and the new registration of its server.
func BenchmarkExpireOne(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now := s.NextExpiry()
				if changed, err := s.Apply(Command{Op: Expire, NowMS: now}); !changed || err != nil {
					b.Fatalf("changed %v, %v", changed, err)
				}
				lapsed := s.Read(s.Revision-1, true).Servers[0]
				lapsed.State = "ready"
				s.Apply(Command{Op: Register, Entry: lapsed, TTLMS: MaxTTLMS, NowMS: now})
			}
		})
	}
}

// BenchmarkRenew measures the renewal of a lease by another registration, the most frequent command.
func BenchmarkRenew(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n)
		e := entry(fmt.Sprintf("server-%06d", n/2))
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := int64(benchmarkStart + n)
			for b.Loop() {
				now++
				if changed, err := s.Apply(Command{Op: Register, Entry: e, TTLMS: MaxTTLMS, NowMS: now}); changed || err != nil {
					b.Fatalf("changed %v, %v", changed, err)
				}
			}
		})
	}
}
