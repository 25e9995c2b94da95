package config

import (
	"cmp"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to receive the header of a request. IdleTimeout bounds
	// the time between two requests on a connection, the time to read a body, and the time
	// to write an answer.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits apply where a configuration sets no limit of its own. MaxHeaderBytes is
// the default of net/http, and MaxBodyBytes the largest value that a configuration may
// set.
var DefaultLimits = Limits{
	MaxHeaderBytes: 1 << 20, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
}

// limitsOf returns the limits of a configuration, with DefaultLimits for those that are
// 0.
func limitsOf(lm *schema.Limits) Limits {
	return Limits{
		MaxHeaderBytes: cmp.Or(int(lm.GetMaxHeaderBytes()), DefaultLimits.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(int64(lm.GetMaxBodyBytes()), DefaultLimits.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(time.Duration(lm.GetHeaderTimeoutMs())*time.Millisecond, DefaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(time.Duration(lm.GetIdleTimeoutMs())*time.Millisecond, DefaultLimits.IdleTimeout),
	}
}

// Route is a compiled route. It has one request kind for each service that takes a share
// of its requests.
type Route struct {
	Name string
	// Public says that requests need no key of a customer.
	Public bool
	// Kinds differ only in the service and its limits.
	Kinds []*Kind
	// cumulativeWeights[i] is the sum of the weights of Kinds[0] to Kinds[i].
	cumulativeWeights []uint64
}

// PickKind returns one of Kinds with a probability in proportion to its weight. draw must
// be uniform over all values of uint64.
func (rt *Route) PickKind(draw uint64) *Kind {
	total := rt.cumulativeWeights[len(rt.cumulativeWeights)-1]
	point := uint64(float64(draw>>11) / (1 << 53) * float64(total))
	for i, bound := range rt.cumulativeWeights {
		if point < bound {
			return rt.Kinds[i]
		}
	}
	return rt.Kinds[len(rt.Kinds)-1]
}

// hostRoutes holds the routes of one host by path prefix. No prefix has more than
// longestPrefix bytes.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int
}

// addRoutes compiles the routes of a configuration. The name of a route is also the class
// of its requests.
func (cd *Compiled) addRoutes(list []*schema.Route) {
	cd.routesByHost = make(map[string]*hostRoutes)
	cd.classNames = make(map[call.Class]bool, len(list)+len(cd.Classes))
	for _, cl := range cd.Classes {
		cd.classNames[cl.Name] = true
	}
	services := make(map[call.Service]*Service, len(cd.Services))
	for i := range cd.Services {
		services[cd.Services[i].Name] = &cd.Services[i]
	}
	for _, rt := range list {
		out := &Route{Name: rt.GetName(), Public: rt.GetPublic()}
		cd.classNames[call.Class(out.Name)] = true
		cd.hasTargets = cd.hasTargets || rt.GetTargetMs() > 0
		var sum uint64
		for _, sh := range rt.GetShares() {
			sum += uint64(sh.GetWeight())
			out.Kinds = append(out.Kinds, routeKind(rt, services[call.Service(sh.GetService())]))
			out.cumulativeWeights = append(out.cumulativeWeights, sum)
		}
		host := strings.ToLower(rt.GetHost())
		hr := cd.routesByHost[host]
		if hr == nil {
			hr = &hostRoutes{byPrefix: make(map[string]*Route)}
			cd.routesByHost[host] = hr
		}
		hr.byPrefix[rt.GetPathPrefix()] = out
		hr.longestPrefix = max(hr.longestPrefix, len(rt.GetPathPrefix()))
	}
}

// routeKind returns the request kind of a route for one of its services.
func routeKind(rt *schema.Route, sv *Service) *Kind {
	deadline := time.Duration(rt.GetDeadlineMs()) * time.Millisecond
	return &Kind{
		Service:           sv.Name,
		Name:              rt.GetName(),
		Class:             call.Class(rt.GetName()),
		Importance:        call.Importance(rt.GetImportance()),
		Idempotent:        rt.GetIdempotent(),
		Deadline:          deadline,
		Target:            cmp.Or(time.Duration(rt.GetTargetMs())*time.Millisecond, deadline),
		RetryTotal:        int(rt.GetAttempts()) - 1,
		RetryRatioPercent: sv.RetryRatioPercent,
		MaxRequestBytes:   sv.MaxRequestBytes,
		MaxAnswerBytes:    sv.MaxAnswerBytes,
		KeyRetention:      sv.KeyRetention,
	}
}

// HasTargets reports whether a route names a time within which answers have their full value.
func (cd *Compiled) HasTargets() bool { return cd.hasTargets }

// Route returns the route of the host with the longest path prefix that path begins with.
// It ignores a port in host and the case of host. It does not allocate if host is in
// lower case.
func (cd *Compiled) Route(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	hr := cd.routesByHost[strings.ToLower(host)]
	if hr == nil {
		return nil, false
	}
	for end := min(len(path), hr.longestPrefix); end > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			return nil, false
		}
		if rt, ok := hr.byPrefix[path[:cut+1]]; ok {
			return rt, true
		}
		end = cut
	}
	return nil, false
}

// HasRoutes reports whether the configuration has routes.
func (cd *Compiled) HasRoutes() bool { return len(cd.routesByHost) > 0 }

// HasClass reports whether a class or a route has the given name.
func (cd *Compiled) HasClass(class call.Class) bool {
	return cd.classNames[class]
}
