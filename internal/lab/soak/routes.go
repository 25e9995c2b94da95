package soak

import (
	"maps"
	"slices"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/platform/document"
)

const (
	// routeHost is the host of all routes.
	routeHost = "tag.example"
	// routeTimeout is the timeout of all routes.
	routeTimeout = 6 * time.Second
)

// firstRoutes are the routes of the first configuration, by name.
var firstRoutes = map[string]Route{
	"tag-lookup":      newRoute(Safe, Sportello, 2),
	"tag-issue":       newRoute(Unsafe, Emissione, 0),
	"plan-upload":     newRoute(Download, Planimetrie, 2),
	"tag-cancel":      newRoute(Safe, Cassa, 1),
	"bay-ledger-read": newRoute(Safe, Emissione, 2),
	"plan-index-read": newRoute(Safe, Planimetrie, 2),
	"tariff-read":     newRoute(Safe, Cassa, 1),
}

// newRoute returns a route without a prefix.
func newRoute(kind Kind, service call.Service, priority int) Route {
	return Route{Host: routeHost, Kind: kind, TimeoutMS: routeTimeout.Milliseconds(), TargetMS: 1500, Priority: priority, Service: service, Attempts: 2}
}

// FirstConfiguration returns the configuration with which a fleet begins, as version 1. The prefix
// of each route is its name between slashes.
func (fl *Fleet) FirstConfiguration() Configuration { return fl.configuration(nil) }

// configuration returns the first configuration, but for the keys of customers that are withdrawn.
func (fl *Fleet) configuration(withdrawn map[int]bool) Configuration {
	co := Configuration{Version: 1, Resources: []Resource{document.NewLimits()}}
	for _, sz := range fl.opt.Services {
		co.Resources = append(co.Resources, document.NewService(sz.Name, sz.MaxConns))
	}
	if dep := fl.opt.Deployment; dep != nil {
		co.Resources = append(co.Resources, dep.resources(withdrawn)...)
		return co
	}
	for _, name := range slices.Sorted(maps.Keys(firstRoutes)) {
		ro := firstRoutes[name]
		ro.Prefix = "/" + name + "/"
		co.Resources = append(co.Resources, document.NewRoute(name, ro))
	}
	return co
}

// resources returns the routes and customers of a deployment. Customers whose number is withdrawn have
// another key.
func (dep *Deployment) resources(withdrawn map[int]bool) []Resource {
	var rs []Resource
	for _, ro := range dep.Routes {
		rs = append(rs, document.NewRoute(ro.Name, Route{
			Host: routeHost, Prefix: "/" + ro.Name + "/", Kind: ro.Kind, TimeoutMS: ro.TimeoutMS, TargetMS: ro.TargetMS,
			Priority: ro.Priority, Service: ro.Service, Attempts: 2,
		}))
	}
	for n := range dep.Customers.Count {
		spec := document.CustomerSpec{
			Keys: []string{customerKey(n)}, RatePerS: dep.Customers.RatePerS * dep.Customers.share(n), Burst: dep.Customers.Burst * dep.Customers.share(n),
		}
		if withdrawn[n] {
			spec.Keys = []string{customerKey(n) + "-new"}
		}
		rs = append(rs, document.NewCustomer(customerName(n), spec))
	}
	return rs
}

// timeout returns the time-out of the route of a path, and the time for which a sender waits on it, or 0
// if it states none of its own.
func (fl *Fleet) timeout(path string) (timeout, deadline time.Duration) {
	if dep := fl.opt.Deployment; dep != nil {
		name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		if ro := dep.route(name); ro != nil {
			return ro.timeout(), ro.deadline()
		}
	}
	return routeTimeout, 0
}
