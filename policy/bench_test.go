package policy

import (
	"fmt"
	"testing"
	"time"
)

// The sizes approach the plan of docs/CAPACITY.md, 26,000 app servers and 170,000 tenants. The numbers of tenants stop at
// the size at which a module takes seconds to load all tenants.
var (
	benchServers = []int{1000, 5000, 13_000, 26_000}
	benchTenants = []int{500, 1000, 2000, 4000}
)

// BenchmarkCapacityListOneChange measures an EndpointUpdate with one changed server. The plan has 77 requests/s per node.
func BenchmarkCapacityListOneChange(b *testing.B) {
	for _, n := range benchServers {
		m := New(sparseSettings(2200), 1)
		m.Handle(time.Hour, cachedEndpoints(n))
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := Time(time.Hour)
			for b.Loop() {
				now += time.Millisecond
				m.Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: []Server{{ID: ServerID(n / 2), StartedAt: now}}})
			}
		})
	}
}

// BenchmarkCapacityTick measures the module's round of checks, which its timer starts every 25 ms, while no request is open.
// Every twentieth round also updates the estimates.
func BenchmarkCapacityTick(b *testing.B) {
	for _, n := range benchServers {
		m := New(sparseSettings(2200), 1)
		m.Handle(time.Hour, cachedEndpoints(n))
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := Time(time.Hour)
			for b.Loop() {
				now += tickInterval
				m.Handle(now, TimerFired{})
			}
		})
	}
}

// benchFleetModule returns a module with n committed tenants of the control plane.
func benchFleetModule(n int) *Module {
	settings := sparseSettings(2200)
	settings.Fleet = true
	m := New(settings, 1)
	m.Handle(time.Hour, cachedEndpoints(8))
	for i := range n {
		m.Handle(time.Hour, TenantUpdate{Name: fmt.Sprintf("tenant-%06d", i), UID: uint64(i + 1), Revision: uint64(i + 1),
			Committed: &TenantRules{Generation: 1, Digest: "0123456789abcdef", Rate: 10, Burst: 20}})
	}
	m.Handle(time.Hour, FleetSynced{Revision: uint64(n)})
	return m
}

// BenchmarkCapacityWindow measures Window for a module with n tenants, which each report calls.
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

// BenchmarkCapacityApplied measures Applied for a module with n tenants, which each report calls.
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

// BenchmarkCapacityAppliedList measures Applied for a module with n listed servers and no tenants.
func BenchmarkCapacityAppliedList(b *testing.B) {
	for _, n := range benchServers {
		settings := sparseSettings(2200)
		settings.Fleet = true
		m := New(settings, 1)
		list := cachedEndpoints(n)
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

// BenchmarkCapacityTenantsLoad measures a new module that loads n tenants one at a time, as at a node's start or at a complete
// answer of the control plane.
func BenchmarkCapacityTenantsLoad(b *testing.B) {
	for _, n := range benchTenants {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchFleetModule(n)
			}
		})
	}
}
