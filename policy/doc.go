// Package policy makes the decisions of a load-balancing proxy node: which server gets a request, when
// another attempt is made, when a request is rejected. It does no I/O, reads no clock and starts no
// goroutine: the caller feeds a Module events and carries out the actions that it returns. The same events
// and seed give the same actions, bit for bit: the order of floating-point operations and of random draws is
// part of that.
//
// The interface is in settings.go, servers.go, events.go, actions.go and fleet_events.go. What decides:
//
//	module.go          the module, and what it does about each event
//	request.go         what the module keeps of a request
//	server.go          what the module keeps of a server
//	fleet_state.go     what the module keeps of the control plane's events
//	random.go          the seeded random numbers
//	admission.go       arrivals: quotas, priority, rejection
//	selection.go       which server gets an attempt, and the rules that every attempt passes
//	retry.go           ends of attempts, and further attempts
//	overload.go        overload modes of servers, and their thresholds
//	shedding.go        how much is shed while every server is overloaded
//	load.go            estimates of the fleet's load, and servers' load reports
//	latency.go         estimates of latency
//	outlier.go         ejection of failing or silent servers, and trials of ejected ones
//	slowstart.go       the pace of servers that are warming up
//	endpoints.go       the endpoint list, and polling for it
//	subset.go          the subset of servers that a node uses
//	zone_routing.go    the control plane's directives on zones
//	zone_budget.go     the rate and the share of traffic that a directive allows
//	tenant_quota.go    tenants' quotas, guaranteed and leased
//	tenant_routing.go  tenants' routes
//	tenant_update.go   which generation of a tenant is in force
//	window.go          what was observed since the last report
//	applied.go         what the module has applied, for drift detection
package policy
