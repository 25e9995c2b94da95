package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// Kind is a compiled request kind with the limits of its service.
type Kind struct {
	Service    call.Service
	Name       string
	Class      call.Class
	Importance call.Importance
	Idempotent bool
	// KeyRequired says that requests must carry an Idempotency-Key.
	KeyRequired bool
	// Deadline of the whole request.
	Deadline time.Duration
	// RetryTotal is the number of retries allowed over the whole call tree.
	RetryTotal int
	// RetryRatioPercent is the bound of retries, in percent of successes.
	RetryRatioPercent int
	// MaxRequestBytes and MaxAnswerBytes are sizes in bytes.
	MaxRequestBytes, MaxAnswerBytes int64
	// KeyRetention is the time for which a recorded answer is kept.
	KeyRetention time.Duration
	// Target is the time within which an answer has its full worth. It is
	// the deadline where nothing else is stated.
	Target time.Duration
}

// Service is a compiled service.
type Service struct {
	Name         call.Service
	Kinds        []*Kind
	RetryRatioPercent   int
	MaxRequestBytes   int64
	MaxAnswerBytes    int64
	KeyRetention time.Duration
}

// Class is a compiled class.
type Class struct {
	Name       call.Class
	Importance call.Importance
}

// Compiled is a checked configuration, ready for lookups. It does not change
// after Compile and is safe for concurrent use.
type Compiled struct {
	// Revision is the position of the configuration in the log.
	Revision uint64
	// Version is the operator's number.
	Version uint64
	Tenant  call.Tenant
	// FailureDomains, Services and Classes are in the order of the files,
	// but classes are sorted by falling importance.
	FailureDomains []call.FailureDomain
	Services       []Service
	Classes        []Class
	// Limits bounds what callers may send.
	Limits Limits

	kinds  map[string]*prefixes
	routes map[string]*routes
	names  map[call.Class]bool
}

// prefixes holds the request kinds of one method.
type prefixes struct {
	byPrefix map[string]*Kind
	longest  int
}

// Compile checks cfg and returns its compiled form.
func Compile(cfg *schema.Configuration, revision uint64) (*Compiled, error) {
	if err := Check(cfg); err != nil {
		return nil, err
	}
	cd := &Compiled{
		Revision: revision,
		Version:  cfg.GetVersion(),
		Tenant:   call.Tenant(cfg.GetDeployment()),
		kinds:    make(map[string]*prefixes),
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
	cd.Limits = limitsOf(cfg.GetLimits())
	return cd, nil
}

func (cd *Compiled) addService(sv *schema.Service, importance map[string]call.Importance) {
	out := Service{
		Name:         call.Service(sv.GetName()),
		RetryRatioPercent:   int(sv.GetRetryRatioPercent()),
		MaxRequestBytes:   int64(sv.GetMaxRequestBytes()),
		MaxAnswerBytes:    int64(sv.GetMaxAnswerBytes()),
		KeyRetention: time.Duration(sv.GetKeyRetentionS()) * time.Second,
	}
	for _, rk := range sv.GetRequests() {
		kd := &Kind{
			Service:      out.Name,
			Name:         rk.GetName(),
			Class:        call.Class(rk.GetClass()),
			Importance:   importance[rk.GetClass()],
			Idempotent:   rk.GetIdempotent(),
			KeyRequired:  rk.GetKeyRequired(),
			Deadline:     time.Duration(rk.GetDeadlineMs()) * time.Millisecond,
			RetryTotal:   int(rk.GetRetryTotal()),
			RetryRatioPercent:   out.RetryRatioPercent,
			MaxRequestBytes:   out.MaxRequestBytes,
			MaxAnswerBytes:    out.MaxAnswerBytes,
			KeyRetention: out.KeyRetention,
			Target:       time.Duration(rk.GetDeadlineMs()) * time.Millisecond,
		}
		out.Kinds = append(out.Kinds, kd)
		cd.addKind(rk.GetMethod(), normalPrefix(rk.GetPathPrefix()), kd)
	}
	cd.Services = append(cd.Services, out)
}

func (cd *Compiled) addKind(method, prefix string, kd *Kind) {
	px := cd.kinds[method]
	if px == nil {
		px = &prefixes{byPrefix: make(map[string]*Kind)}
		cd.kinds[method] = px
	}
	px.byPrefix[prefix] = kd
	px.longest = max(px.longest, len(prefix))
}

// Match returns the request kind with the longest prefix of path, in whole
// path segments. A path with empty or dot segments matches nothing, since an
// upstream could read it as another path. Match does not allocate.
func (cd *Compiled) Match(method, path string) (*Kind, bool) {
	px := cd.kinds[method]
	if px == nil || !plainPath(path) {
		return nil, false
	}
	for prefix := path; ; {
		if len(prefix) <= px.longest {
			if kd, ok := px.byPrefix[prefix]; ok {
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

// normalPrefix returns the prefix without its last slash, so that "/a" and
// "/a/" are the same; the prefix of all paths is empty.
func normalPrefix(prefix string) string { return strings.TrimSuffix(prefix, "/") }

func plainPath(path string) bool {
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
