package config

import (
	"slices"
	"strconv"
	"strings"

	"camphortrail/call"
	"camphortrail/schema"
)

// Bounds of a configuration.
const (
	maxNameBytes      = 63
	maxFailureDomains = 64
	maxClasses        = 64
	maxServices       = 256
	maxRequestKinds   = 64
	maxPrefixBytes    = 256
	maxRetryRatio     = 100
	maxRetryTotal     = 20
	maxDeadlineMs     = 10 * 60 * 1000
	maxBodyBytes      = 64 << 20
	maxKeyRetentionS  = 7 * 24 * 60 * 60
)

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Check returns Problems with all findings in a whole configuration, or nil.
func Check(cfg *schema.Configuration) error { return check(cfg).err() }

func check(cfg *schema.Configuration) Problems {
	ck := &checker{classes: make(map[string]bool), services: make(map[string]bool), prefixes: make(names)}
	ck.name(fieldDeployment, cfg.GetDeployment())
	if cfg.GetVersion() == 0 {
		ck.number(fieldVersion, 0, "must be set and positive")
	}
	ck.routed = len(cfg.GetRoutes()) > 0
	ck.failureDomains(cfg.GetFailureDomains())
	ck.allClasses(cfg.GetClasses())
	ck.allServices(cfg.GetServices())
	ck.allRoutes(cfg.GetRoutes())
	ck.limits(cfg.GetLimits())
	return ck.problems
}

// checker holds what is known of a configuration while it is checked.
type checker struct {
	findings
	classes  map[string]bool
	services map[string]bool
	// routed says that the configuration has routes, so that services need
	// no request kinds of their own.
	routed bool
	// prefixes maps method and path prefix to the field that set it.
	prefixes names
}

// names maps a value that must be unique to the field that has it.
type names map[string]string

// unique reports a value that an earlier field of ns has too.
func (fs *findings) unique(ns names, field, value string) {
	if value == "" {
		return
	}
	if earlier, ok := ns[value]; ok {
		fs.conflict(field, strconv.Quote(value), "duplicate of", earlier)
		return
	}
	ns[value] = field
}

func (fs *findings) name(field, name string) {
	if name == "" {
		fs.text(field, name, "must be set")
		return
	}
	if len(name) > maxNameBytes || !isName(name) {
		fs.text(field, name, "must be up to 63 lower-case letters, digits and inner hyphens")
	}
}

func isName(name string) bool {
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, ch := range []byte(name) {
		if ch != '-' && (ch < '0' || ch > '9') && (ch < 'a' || ch > 'z') {
			return false
		}
	}
	return true
}

func (ck *checker) count(field string, count, most int) {
	if count == 0 {
		ck.add(field, "", "must have at least one element")
	}
	if count > most {
		ck.number(field, uint64(count), "has more than "+strconv.Itoa(most)+" elements")
	}
}

func (ck *checker) failureDomains(list []*schema.FailureDomain) {
	ck.count(fieldFailureDomains, len(list), maxFailureDomains)
	ns := make(names)
	for i, fd := range list {
		at := index(fieldFailureDomains, i)
		ck.name(join(at, "name"), fd.GetName())
		ck.unique(ns, join(at, "name"), fd.GetName())
		ck.name(join(at, "region"), fd.GetRegion())
	}
}

func (ck *checker) allClasses(list []*schema.Class) {
	if !ck.routed || len(list) > 0 {
		ck.count(fieldClasses, len(list), maxClasses)
	}
	ns := make(names)
	for i, cl := range list {
		at := index(fieldClasses, i)
		ck.name(join(at, "name"), cl.GetName())
		ck.unique(ns, join(at, "name"), cl.GetName())
		ck.classes[cl.GetName()] = true
		if cl.GetImportance() < uint32(call.MinImportance) || cl.GetImportance() > uint32(call.MaxImportance) {
			ck.number(join(at, "importance"), uint64(cl.GetImportance()), "must be from 1 to 7")
		}
	}
}

func (ck *checker) allServices(list []*schema.Service) {
	ck.count(fieldServices, len(list), maxServices)
	ns := make(names)
	for i, sv := range list {
		at := index(fieldServices, i)
		ck.name(join(at, "name"), sv.GetName())
		ck.unique(ns, join(at, "name"), sv.GetName())
		ck.services[sv.GetName()] = true
		ck.service(at, sv)
	}
}

func (ck *checker) service(at string, sv *schema.Service) {
	if sv.GetRetryRatioPercent() > maxRetryRatio {
		ck.number(join(at, "retry-ratio-percent"), uint64(sv.GetRetryRatioPercent()), "must be at most 100")
	}
	ck.within(join(at, "max-request-bytes"), sv.GetMaxRequestBytes(), maxBodyBytes)
	ck.within(join(at, "max-answer-bytes"), sv.GetMaxAnswerBytes(), maxBodyBytes)
	if sv.GetKeyRetentionS() > maxKeyRetentionS {
		ck.number(join(at, "key-retention-s"), uint64(sv.GetKeyRetentionS()), "must be at most 604800")
	}
	if !ck.routed || len(sv.GetRequests()) > 0 {
		ck.count(join(at, "requests"), len(sv.GetRequests()), maxRequestKinds)
	}
	ns := make(names)
	for i, rk := range sv.GetRequests() {
		field := index(join(at, "requests"), i)
		ck.name(join(field, "name"), rk.GetName())
		ck.unique(ns, join(field, "name"), rk.GetName())
		ck.request(field, rk)
		ck.keys(at, field, sv, rk)
	}
}

func (ck *checker) within(field string, value, most uint64) {
	if value == 0 || value > most {
		ck.number(field, value, "must be from 1 to "+strconv.FormatUint(most, 10))
	}
}

func (ck *checker) request(at string, rk *schema.RequestKind) {
	ck.method(join(at, "method"), rk.GetMethod())
	ck.prefix(join(at, "path-prefix"), rk)
	if !ck.classes[rk.GetClass()] {
		ck.text(join(at, "class"), rk.GetClass(), "is not a class of this configuration")
	}
	ck.within(join(at, "deadline-ms"), uint64(rk.GetDeadlineMs()), maxDeadlineMs)
	if rk.GetRetryTotal() > maxRetryTotal {
		ck.number(join(at, "retry-total"), uint64(rk.GetRetryTotal()), "must be at most 20")
	}
}

func (fs *findings) method(field, method string) {
	if !slices.Contains(methods, method) {
		fs.text(field, method, "must be one of "+strings.Join(methods, ", "))
	}
}

func (ck *checker) prefix(field string, rk *schema.RequestKind) {
	prefix := rk.GetPathPrefix()
	if !ck.plain(field, prefix) {
		return
	}
	key := rk.GetMethod() + " " + normalPrefix(prefix)
	if earlier, ok := ck.prefixes[key]; ok {
		ck.conflict(field, strconv.Quote(prefix), "matches the same requests as", earlier)
		return
	}
	ck.prefixes[key] = field
}

func (ck *checker) keys(service, at string, sv *schema.Service, rk *schema.RequestKind) {
	if !rk.GetKeyRequired() {
		return
	}
	if rk.GetIdempotent() {
		ck.add(join(at, "key-required"), "true", "contradicts idempotent")
	}
	if rk.GetMethod() == "GET" || rk.GetMethod() == "HEAD" {
		ck.add(join(at, "key-required"), "true", "contradicts method "+rk.GetMethod())
	}
	if uint64(sv.GetKeyRetentionS())*1000 < uint64(rk.GetDeadlineMs()) {
		ck.conflict(join(service, "key-retention-s"), strconv.FormatUint(uint64(sv.GetKeyRetentionS()), 10),
			"must not be shorter than", join(at, "deadline-ms"))
	}
}
