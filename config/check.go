package config

import (
	"slices"
	"strconv"
	"strings"

	"camphortrail/call"
	"camphortrail/schema"
)

// Bounds of a configuration. maxClasses, maxServices and maxFailureDomains are per
// configuration, maxRequestKinds is per service, and maxRetryRatio is in percent.
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

// methods are the HTTP methods that a request kind may have.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Check checks a whole configuration. It returns all problems as an error of type
// Problems, or nil.
func Check(cfg *schema.Configuration) error { return check(cfg).err() }

// check returns all problems of a whole configuration, with paths in the merged message.
func check(cfg *schema.Configuration) Problems {
	ck := &checker{classes: make(map[string]bool), services: make(map[string]bool), prefixes: make(fieldByValue)}
	ck.checkName(fieldDeployment, cfg.GetDeployment())
	if cfg.GetVersion() == 0 {
		ck.addNumber(fieldVersion, 0, "must be set and positive")
	}
	ck.hasRoutes = len(cfg.GetRoutes()) > 0
	ck.checkFailureDomains(cfg.GetFailureDomains())
	ck.checkClasses(cfg.GetClasses())
	ck.checkServices(cfg.GetServices())
	ck.checkRoutes(cfg.GetRoutes())
	ck.checkLimits(cfg.GetLimits())
	ck.checkCustomers(cfg.GetCustomers())
	return ck.problems
}

// checker collects the problems of a configuration and the names that later checks refer
// to.
type checker struct {
	findings
	classes  map[string]bool
	services map[string]bool
	// hasRoutes says that the configuration has routes, so that classes and request kinds
	// may be left out.
	hasRoutes bool
	// prefixes maps the method and normalized path prefix of a request kind to the path
	// of the field that set it.
	prefixes fieldByValue
}

// fieldByValue maps each value that must be unique to the path of the field that has it.
type fieldByValue map[string]string

// checkUnique adds a problem if an earlier field in fv has the same value. It ignores
// empty values.
func (fs *findings) checkUnique(fv fieldByValue, field, value string) {
	if value == "" {
		return
	}
	if earlier, ok := fv[value]; ok {
		fs.addConflict(field, strconv.Quote(value), "duplicate of", earlier)
		return
	}
	fv[value] = field
}

// checkName checks that a name is set and is valid as isName and maxNameBytes define.
func (fs *findings) checkName(field, name string) {
	if name == "" {
		fs.addText(field, name, "must be set")
		return
	}
	if len(name) > maxNameBytes || !isName(name) {
		fs.addText(field, name, "must be up to 63 lower-case letters, digits and inner hyphens")
	}
}

// isName reports whether a name, which must not be empty, has only lower-case letters,
// digits and hyphens, and no hyphen at either end.
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

// checkCount checks that a list has between 1 and most elements.
func (ck *checker) checkCount(field string, count, most int) {
	if count == 0 {
		ck.add(field, "", "must have at least one element")
	}
	if count > most {
		ck.addNumber(field, uint64(count), "has more than "+strconv.Itoa(most)+" elements")
	}
}

// checkFailureDomains checks the failure domains, whose names must be unique.
func (ck *checker) checkFailureDomains(list []*schema.FailureDomain) {
	ck.checkCount(fieldFailureDomains, len(list), maxFailureDomains)
	fv := make(fieldByValue)
	for i, fd := range list {
		at := elementPath(fieldFailureDomains, i)
		ck.checkSharedName(joinPath(at, "name"), fd.GetName(), maxFailureDomainLabelBytes)
		ck.checkUnique(fv, joinPath(at, "name"), fd.GetName())
		ck.checkSharedName(joinPath(at, "region"), fd.GetRegion(), maxFailureDomainLabelBytes)
	}
}

// checkClasses checks the classes. A configuration with routes needs none.
func (ck *checker) checkClasses(list []*schema.Class) {
	if !ck.hasRoutes || len(list) > 0 {
		ck.checkCount(fieldClasses, len(list), maxClasses)
	}
	fv := make(fieldByValue)
	for i, cl := range list {
		at := elementPath(fieldClasses, i)
		ck.checkName(joinPath(at, "name"), cl.GetName())
		ck.checkUnique(fv, joinPath(at, "name"), cl.GetName())
		ck.classes[cl.GetName()] = true
		if cl.GetImportance() < uint32(call.MinImportance) || cl.GetImportance() > uint32(call.MaxImportance) {
			ck.addNumber(joinPath(at, "importance"), uint64(cl.GetImportance()), "must be from 1 to 7")
		}
	}
}

// checkServices checks the services, whose names must be unique.
func (ck *checker) checkServices(list []*schema.Service) {
	ck.checkCount(fieldServices, len(list), maxServices)
	fv := make(fieldByValue)
	for i, sv := range list {
		at := elementPath(fieldServices, i)
		ck.checkSharedName(joinPath(at, "name"), sv.GetName(), maxServiceLabelBytes)
		ck.checkUnique(fv, joinPath(at, "name"), sv.GetName())
		ck.services[sv.GetName()] = true
		ck.checkService(at, sv)
	}
}

// checkService checks the limits and request kinds of the service at path at.
func (ck *checker) checkService(at string, sv *schema.Service) {
	if sv.GetRetryRatioPercent() > maxRetryRatio {
		ck.addNumber(joinPath(at, "retry-ratio-percent"), uint64(sv.GetRetryRatioPercent()), "must be at most 100")
	}
	ck.checkRange(joinPath(at, "max-request-bytes"), sv.GetMaxRequestBytes(), maxBodyBytes)
	ck.checkRange(joinPath(at, "max-answer-bytes"), sv.GetMaxAnswerBytes(), maxBodyBytes)
	if sv.GetKeyRetentionS() > maxKeyRetentionS {
		ck.addNumber(joinPath(at, "key-retention-s"), uint64(sv.GetKeyRetentionS()), "must be at most 604800")
	}
	if !ck.hasRoutes || len(sv.GetRequests()) > 0 {
		ck.checkCount(joinPath(at, "requests"), len(sv.GetRequests()), maxRequestKinds)
	}
	fv := make(fieldByValue)
	for i, rk := range sv.GetRequests() {
		field := elementPath(joinPath(at, "requests"), i)
		ck.checkName(joinPath(field, "name"), rk.GetName())
		ck.checkUnique(fv, joinPath(field, "name"), rk.GetName())
		ck.checkRequestKind(field, rk)
		ck.checkKeyRequired(at, field, sv, rk)
	}
}

// checkRange checks that a number is from 1 to most.
func (ck *checker) checkRange(field string, value, most uint64) {
	if value == 0 || value > most {
		ck.addNumber(field, value, "must be from 1 to "+strconv.FormatUint(most, 10))
	}
}

// checkRequestKind checks the request kind at path at, except for its name and key.
func (ck *checker) checkRequestKind(at string, rk *schema.RequestKind) {
	ck.checkMethod(joinPath(at, "method"), rk.GetMethod())
	ck.checkPrefix(joinPath(at, "path-prefix"), rk)
	if !ck.classes[rk.GetClass()] {
		ck.addText(joinPath(at, "class"), rk.GetClass(), "is not a class of this configuration")
	}
	ck.checkRange(joinPath(at, "deadline-ms"), uint64(rk.GetDeadlineMs()), maxDeadlineMs)
	if rk.GetRetryTotal() > maxRetryTotal {
		ck.addNumber(joinPath(at, "retry-total"), uint64(rk.GetRetryTotal()), "must be at most 20")
	}
}

// checkMethod checks that an HTTP method is one of methods.
func (fs *findings) checkMethod(field, method string) {
	if !slices.Contains(methods, method) {
		fs.addText(field, method, "must be one of "+strings.Join(methods, ", "))
	}
}

// checkPrefix checks the path prefix of a request kind. No two request kinds of the
// configuration may have the same method and prefix.
func (ck *checker) checkPrefix(field string, rk *schema.RequestKind) {
	prefix := rk.GetPathPrefix()
	if !ck.checkPath(field, prefix) {
		return
	}
	key := rk.GetMethod() + " " + normalizePrefix(prefix)
	if earlier, ok := ck.prefixes[key]; ok {
		ck.addConflict(field, strconv.Quote(prefix), "matches the same requests as", earlier)
		return
	}
	ck.prefixes[key] = field
}

// checkKeyRequired checks a request kind that requires idempotency keys. The kind must
// not be idempotent already, its method must not be GET or HEAD, and keys must be
// retained at least until the deadline of the request. service and at are the paths of
// the service and the request kind.
func (ck *checker) checkKeyRequired(service, at string, sv *schema.Service, rk *schema.RequestKind) {
	if !rk.GetKeyRequired() {
		return
	}
	if rk.GetIdempotent() {
		ck.add(joinPath(at, "key-required"), "true", "contradicts idempotent")
	}
	if rk.GetMethod() == "GET" || rk.GetMethod() == "HEAD" {
		ck.add(joinPath(at, "key-required"), "true", "contradicts method "+rk.GetMethod())
	}
	if uint64(sv.GetKeyRetentionS())*1000 < uint64(rk.GetDeadlineMs()) {
		ck.addConflict(joinPath(service, "key-retention-s"), strconv.FormatUint(uint64(sv.GetKeyRetentionS()), 10),
			"must not be shorter than", joinPath(at, "deadline-ms"))
	}
}
