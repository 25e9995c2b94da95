package config

import (
	"cmp"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time for the header of a request, and
	// IdleTimeout that between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits are in force where a configuration states none. They are those
// of net/http for headers, and the largest body that a configuration can allow.
var DefaultLimits = Limits{
	MaxHeaderBytes: 1 << 20, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
}

func limitsOf(lm *schema.Limits) Limits {
	return Limits{
		MaxHeaderBytes: cmp.Or(int(lm.GetMaxHeaderBytes()), DefaultLimits.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(int64(lm.GetMaxBodyBytes()), DefaultLimits.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(time.Duration(lm.GetHeaderTimeoutMs())*time.Millisecond, DefaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(time.Duration(lm.GetIdleTimeoutMs())*time.Millisecond, DefaultLimits.IdleTimeout),
	}
}

// Route is a compiled route: a request kind for each service that shares its
// requests.
type Route struct {
	Name string
	// Kinds are the same but for the service and its limits.
	Kinds []*Kind
	// bounds holds the sum of the weights up to each kind.
	bounds []uint64
}

// PickKind returns the kind of a share in proportion to the weights, for a draw
// that is uniform over all values.
func (rt *Route) PickKind(draw uint64) *Kind {
	total := rt.bounds[len(rt.bounds)-1]
	place := uint64(float64(draw>>11) / (1 << 53) * float64(total))
	for i, bound := range rt.bounds {
		if place < bound {
			return rt.Kinds[i]
		}
	}
	return rt.Kinds[len(rt.Kinds)-1]
}

// routes holds the routes of one host.
type routes struct {
	byPrefix map[string]*Route
	longest  int
}

func (cd *Compiled) addRoutes(list []*schema.Route) {
	cd.routes = make(map[string]*routes)
	cd.names = make(map[call.Class]bool, len(list)+len(cd.Classes))
	for _, cl := range cd.Classes {
		cd.names[cl.Name] = true
	}
	services := make(map[call.Service]*Service, len(cd.Services))
	for i := range cd.Services {
		services[cd.Services[i].Name] = &cd.Services[i]
	}
	for _, rt := range list {
		out := &Route{Name: rt.GetName()}
		cd.names[call.Class(out.Name)] = true
		var sum uint64
		for _, sh := range rt.GetShares() {
			sum += uint64(sh.GetWeight())
			out.Kinds = append(out.Kinds, routeKind(rt, services[call.Service(sh.GetService())]))
			out.bounds = append(out.bounds, sum)
		}
		host := strings.ToLower(rt.GetHost())
		hr := cd.routes[host]
		if hr == nil {
			hr = &routes{byPrefix: make(map[string]*Route)}
			cd.routes[host] = hr
		}
		hr.byPrefix[rt.GetPathPrefix()] = out
		hr.longest = max(hr.longest, len(rt.GetPathPrefix()))
	}
}

func routeKind(rt *schema.Route, sv *Service) *Kind {
	deadline := time.Duration(rt.GetDeadlineMs()) * time.Millisecond
	return &Kind{
		Service:      sv.Name,
		Name:         rt.GetName(),
		Class:        call.Class(rt.GetName()),
		Importance:   call.Importance(rt.GetImportance()),
		Idempotent:   rt.GetIdempotent(),
		Deadline:     deadline,
		Target:       cmp.Or(time.Duration(rt.GetTargetMs())*time.Millisecond, deadline),
		RetryTotal:   int(rt.GetAttempts()) - 1,
		RetryRatioPercent:   sv.RetryRatioPercent,
		MaxRequestBytes:   sv.MaxRequestBytes,
		MaxAnswerBytes:    sv.MaxAnswerBytes,
		KeyRetention: sv.KeyRetention,
	}
}

// Route returns the route with the longest prefix that begins the path. A port
// of the host does not count. It does not allocate for a host in lower case.
func (cd *Compiled) Route(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	hr := cd.routes[strings.ToLower(host)]
	if hr == nil {
		return nil, false
	}
	for end := min(len(path), hr.longest); end > 0; {
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
func (cd *Compiled) HasRoutes() bool { return len(cd.routes) > 0 }

// HasClass reports whether a route or class has the name.
func (cd *Compiled) HasClass(class call.Class) bool {
	return cd.names[class]
}
