package soak

import (
	"maps"
	"slices"
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
func (fl *Fleet) FirstConfiguration() Configuration {
	co := Configuration{Version: 1, Resources: []Resource{document.NewLimits()}}
	for _, sz := range fl.opt.Services {
		co.Resources = append(co.Resources, document.NewService(sz.Name, sz.MaxConns))
	}
	for _, name := range slices.Sorted(maps.Keys(firstRoutes)) {
		ro := firstRoutes[name]
		ro.Prefix = "/" + name + "/"
		co.Resources = append(co.Resources, document.NewRoute(name, ro))
	}
	return co
}
