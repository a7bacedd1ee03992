// Package policy makes the decisions of a load-balancing proxy node: which server gets a request, when the
// node makes another attempt, and when it rejects a request. The package does no I/O, reads no clock and
// starts no goroutine: the caller passes events to a Module and carries out the actions that it returns. The
// module is deterministic: the same events and seed give the same actions, bit for bit. The order of
// floating-point operations and of random draws is therefore part of its behaviour.
//
// The interface is in settings.go, servers.go, events.go, actions.go and fleet_events.go. The implementation
// is in the other files:
//
//	module.go          the module and the dispatch of events
//	request.go         state of a request
//	server.go          state of a server
//	fleet_state.go     state received from the control plane
//	random.go          seeded random numbers
//	admission.go       arriving requests: quotas, priority, rejection
//	selection.go       choice of a server, and the rules that every attempt must pass
//	retry.go           ends of attempts, and retries
//	overload.go        overload modes of servers, and their thresholds
//	shedding.go        how many requests are shed while every server is overloaded
//	load.go            estimates of the fleet's load, and servers' load reports
//	latency.go         estimates of latency
//	outlier.go         ejection of failing or silent servers, and trial requests to ejected ones
//	slowstart.go       rate limit of servers that are warming up
//	endpoints.go       the endpoint list, and polling for it
//	subset.go          the subset of servers that a node uses
//	zone_routing.go    the control plane's directives on zones
//	zone_budget.go     the rate and the share of traffic that a directive allows
//	tenant_quota.go    guaranteed and leased quotas of tenants
//	tenant_routing.go  routes of tenants
//	tenant_update.go   which generation of a tenant is in force
//	window.go          observations since the last report
//	applied.go         the state that the module has applied, for drift detection
package policy
