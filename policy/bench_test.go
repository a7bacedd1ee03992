package policy

import (
	"fmt"
	"testing"
	"time"
)

// The sizes are steps towards the plan of docs/CAPACITY.md, 26,000 app servers and 170,000 tenants. Those of tenants end
// where a module takes seconds to load them all.
var (
	benchServers = []int{1000, 5000, 13_000, 26_000}
	benchTenants = []int{500, 1000, 2000, 4000}
)

// BenchmarkCapacityListOneChange is the module's update for one changed server, after a request rate of 77 a second.
func BenchmarkCapacityListOneChange(b *testing.B) {
	for _, n := range benchServers {
		m := New(sparseSettings(2200), 1)
		m.Handle(time.Hour, sparseList(n))
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := Time(time.Hour)
			for b.Loop() {
				now += time.Millisecond
				m.Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: []Server{{ID: ServerID(n / 2), StartedAt: now}}})
			}
		})
	}
}

// BenchmarkCapacityTick is the module's round of checks, which its timer requests each 25 ms, while no request is open. Every
// twentieth takes in what was learned.
func BenchmarkCapacityTick(b *testing.B) {
	for _, n := range benchServers {
		m := New(sparseSettings(2200), 1)
		m.Handle(time.Hour, sparseList(n))
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := Time(time.Hour)
			for b.Loop() {
				now += tickInterval
				m.Handle(now, TimerFired{})
			}
		})
	}
}

// benchFleetModule holds n committed tenants of the fleet.
func benchFleetModule(n int) *Module {
	settings := sparseSettings(2200)
	settings.Fleet = true
	m := New(settings, 1)
	m.Handle(time.Hour, sparseList(8))
	for i := range n {
		m.Handle(time.Hour, TenantUpdate{Name: fmt.Sprintf("tenant-%06d", i), UID: uint64(i + 1), Revision: uint64(i + 1),
			Committed: &TenantRules{Generation: 1, Digest: "0123456789abcdef", Rate: 10, Burst: 20}})
	}
	m.Handle(time.Hour, FleetSynced{Revision: uint64(n)})
	return m
}

// BenchmarkCapacityWindow is what a module with n tenants gives for each report.
func BenchmarkCapacityWindow(b *testing.B) {
	for _, n := range benchTenants {
		m := benchFleetModule(n)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			now := Time(time.Hour)
			for b.Loop() {
				now += time.Second
				m.Window(now)
			}
		})
	}
}

// BenchmarkCapacityApplied is what a module with n tenants lists for each report.
func BenchmarkCapacityApplied(b *testing.B) {
	for _, n := range benchTenants {
		m := benchFleetModule(n)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Applied()
			}
		})
	}
}

// BenchmarkCapacityAppliedList is the same of a module with a list and no tenants.
func BenchmarkCapacityAppliedList(b *testing.B) {
	for _, n := range benchServers {
		settings := sparseSettings(2200)
		settings.Fleet = true
		m := New(settings, 1)
		list := sparseList(n)
		for i := range list.Servers {
			list.Servers[i].Name = fmt.Sprintf("s-%08d", i)
		}
		m.Handle(time.Hour, list)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Applied()
			}
		})
	}
}

// BenchmarkCapacityTenantsLoad is a new module that loads n tenants, one by one, as a node's start or a complete answer has it.
func BenchmarkCapacityTenantsLoad(b *testing.B) {
	for _, n := range benchTenants {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchFleetModule(n)
			}
		})
	}
}
