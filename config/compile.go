package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// Kind is a compiled request kind, including the limits of its service.
type Kind struct {
	Service    call.Service
	Name       string
	Class      call.Class
	Importance call.Importance
	Idempotent bool
	// KeyRequired says that requests must have an Idempotency-Key header.
	KeyRequired bool
	// Deadline is the time within which the whole request must be answered.
	Deadline time.Duration
	// RetryTotal is the number of retries allowed in the whole call tree of a request.
	RetryTotal int
	// RetryRatioPercent bounds the retries to the service, in percent of its successful
	// requests.
	RetryRatioPercent int
	// MaxRequestBytes and MaxAnswerBytes bound the bodies of a request and its answer.
	MaxRequestBytes, MaxAnswerBytes int64
	// KeyRetention is how long the recorded answer of an idempotency key is retained.
	KeyRetention time.Duration
	// Target is the time within which an answer has its full value. It equals Deadline
	// unless a route sets its own target.
	Target time.Duration
}

// Service is a compiled service. Its limits have the meaning of those of Kind.
type Service struct {
	Name              call.Service
	Kinds             []*Kind
	RetryRatioPercent int
	MaxRequestBytes   int64
	MaxAnswerBytes    int64
	KeyRetention      time.Duration
}

// Class is a compiled class of requests.
type Class struct {
	Name       call.Class
	Importance call.Importance
}

// Compiled is a checked configuration in a form for lookups. It does not change after
// Compile and is safe for concurrent use.
type Compiled struct {
	// Revision is the position of the configuration in the replicated log.
	Revision uint64
	// Version is the number that operators gave the configuration.
	Version uint64
	// Deployment is the deployment for which the configuration is intended.
	Deployment call.Deployment
	// FailureDomains and Services are in the order of the files. Classes are in falling
	// order of importance.
	FailureDomains []call.FailureDomain
	Services       []Service
	Classes        []Class
	// Limits bounds the requests and connections of callers.
	Limits Limits

	kindsByMethod map[string]*methodKinds
	routesByHost  map[string]*hostRoutes
	classNames    map[call.Class]bool
	hasTargets    bool
	customers     customers
}

// methodKinds holds the request kinds of one method by path prefix. No prefix has more
// than longestPrefix bytes.
type methodKinds struct {
	byPrefix      map[string]*Kind
	longestPrefix int
}

// Compile checks cfg and returns its compiled form for the given revision. If cfg is
// invalid, the error is of type Problems.
func Compile(cfg *schema.Configuration, revision uint64) (*Compiled, error) {
	if err := Check(cfg); err != nil {
		return nil, err
	}
	cd := &Compiled{
		Revision:      revision,
		Version:       cfg.GetVersion(),
		Deployment:    call.Deployment(cfg.GetDeployment()),
		kindsByMethod: make(map[string]*methodKinds),
	}
	for _, fd := range cfg.GetFailureDomains() {
		cd.FailureDomains = append(cd.FailureDomains, call.FailureDomain(fd.GetName()))
	}
	importance := make(map[string]call.Importance)
	for _, cl := range cfg.GetClasses() {
		imp := call.Importance(cl.GetImportance())
		importance[cl.GetName()] = imp
		cd.Classes = append(cd.Classes, Class{Name: call.Class(cl.GetName()), Importance: imp})
	}
	slices.SortStableFunc(cd.Classes, func(a, b Class) int { return cmp.Compare(b.Importance, a.Importance) })
	for _, sv := range cfg.GetServices() {
		cd.addService(sv, importance)
	}
	cd.addRoutes(cfg.GetRoutes())
	cd.addCustomers(cfg.GetCustomers())
	cd.Limits = limitsOf(cfg.GetLimits())
	return cd, nil
}

// addService compiles a service and its request kinds.
func (cd *Compiled) addService(sv *schema.Service, importance map[string]call.Importance) {
	out := Service{
		Name:              call.Service(sv.GetName()),
		RetryRatioPercent: int(sv.GetRetryRatioPercent()),
		MaxRequestBytes:   int64(sv.GetMaxRequestBytes()),
		MaxAnswerBytes:    int64(sv.GetMaxAnswerBytes()),
		KeyRetention:      time.Duration(sv.GetKeyRetentionS()) * time.Second,
	}
	for _, rk := range sv.GetRequests() {
		kd := &Kind{
			Service:           out.Name,
			Name:              rk.GetName(),
			Class:             call.Class(rk.GetClass()),
			Importance:        importance[rk.GetClass()],
			Idempotent:        rk.GetIdempotent(),
			KeyRequired:       rk.GetKeyRequired(),
			Deadline:          time.Duration(rk.GetDeadlineMs()) * time.Millisecond,
			RetryTotal:        int(rk.GetRetryTotal()),
			RetryRatioPercent: out.RetryRatioPercent,
			MaxRequestBytes:   out.MaxRequestBytes,
			MaxAnswerBytes:    out.MaxAnswerBytes,
			KeyRetention:      out.KeyRetention,
			Target:            time.Duration(rk.GetDeadlineMs()) * time.Millisecond,
		}
		out.Kinds = append(out.Kinds, kd)
		cd.addKind(rk.GetMethod(), normalizePrefix(rk.GetPathPrefix()), kd)
	}
	cd.Services = append(cd.Services, out)
}

// addKind adds a request kind to the lookup by method and normalized path prefix.
func (cd *Compiled) addKind(method, prefix string, kd *Kind) {
	mk := cd.kindsByMethod[method]
	if mk == nil {
		mk = &methodKinds{byPrefix: make(map[string]*Kind)}
		cd.kindsByMethod[method] = mk
	}
	mk.byPrefix[prefix] = kd
	mk.longestPrefix = max(mk.longestPrefix, len(prefix))
}

// Match returns the request kind of the method with the longest prefix of path, counted
// in whole path segments. A path with empty segments or with "." or ".." matches nothing,
// because an upstream could resolve it to another path. Match does not allocate.
func (cd *Compiled) Match(method, path string) (*Kind, bool) {
	mk := cd.kindsByMethod[method]
	if mk == nil || !isCleanPath(path) {
		return nil, false
	}
	for prefix := path; ; {
		if len(prefix) <= mk.longestPrefix {
			if kd, ok := mk.byPrefix[prefix]; ok {
				return kd, true
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil, false
		}
		prefix = prefix[:cut]
	}
}

// normalizePrefix returns the prefix without a trailing slash, so that "/a" and "/a/" are
// the same. The prefix of all paths becomes empty.
func normalizePrefix(prefix string) string { return strings.TrimSuffix(prefix, "/") }

// isCleanPath reports whether path begins with a slash and has no "." or ".." segment,
// and no empty one except at its end.
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for rest, found := path[1:], true; found; {
		var segment string
		segment, rest, found = strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && found) {
			return false
		}
	}
	return true
}
