package config

import (
	"strconv"
	"strings"

	"camphortrail/schema"
)

// Bounds of routes and limits. maxShares and maxAttempts are per route.
const (
	maxRoutes      = 1 << 15
	maxShares      = 64
	maxAttempts    = 20
	maxShareWeight = 1 << 20
	maxHeaderBytes = 1 << 20
)

// checkRoutes checks the routes. If there are too many, it reports only their number.
func (ck *checker) checkRoutes(list []*schema.Route) {
	if len(list) > maxRoutes {
		ck.addNumber(fieldRoutes, uint64(len(list)), "has more than 32768 elements")
		return
	}
	prefixes, fv := make(fieldByValue), make(fieldByValue)
	for i, rt := range list {
		at := elementPath(fieldRoutes, i)
		ck.checkLabel(joinPath(at, "name"), rt.GetName(), maxLabelBytes)
		ck.checkUnique(fv, joinPath(at, "name"), rt.GetName())
		ck.checkLabel(joinPath(at, "host"), rt.GetHost(), maxLabelBytes)
		ck.checkRoutePrefix(joinPath(at, "path-prefix"), rt.GetPathPrefix())
		ck.checkUnique(prefixes, joinPath(at, "path-prefix"), strings.ToLower(rt.GetHost())+" "+rt.GetPathPrefix())
		ck.checkRange(joinPath(at, "importance"), uint64(rt.GetImportance()), 7)
		ck.checkRange(joinPath(at, "deadline-ms"), uint64(rt.GetDeadlineMs()), maxDeadlineMs)
		ck.checkRange(joinPath(at, "attempts"), uint64(rt.GetAttempts()), maxAttempts)
		ck.checkShares(at, rt.GetShares())
	}
}

// Longest labels. Those of services and failure domains are sent in datagrams of the membership,
// which bounds them, too.
const (
	maxLabelBytes              = 255
	maxServiceLabelBytes       = 64
	maxFailureDomainLabelBytes = 32
)

// checkLabel checks a name or host that other systems choose. It may have any characters, but
// must not be empty or longer than most bytes.
func (fs *findings) checkLabel(field, value string, most int) {
	if value == "" || len(value) > most {
		fs.addText(field, value, "must have from 1 to "+strconv.Itoa(most)+" bytes")
	}
}

// checkSharedName checks the name of a service, failure domain or region. Where the configuration
// has routes, other systems choose it.
func (ck *checker) checkSharedName(field, name string, most int) {
	if ck.hasRoutes {
		ck.checkLabel(field, name, most)
		return
	}
	ck.checkName(field, name)
}

// checkRoutePrefix checks the path prefix of a route, which must end with a slash because
// Compiled.Route matches whole path segments.
func (fs *findings) checkRoutePrefix(field, prefix string) {
	if len(prefix) > maxPrefixBytes || !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		fs.addText(field, prefix, "must begin and end with a slash, in up to 256 bytes")
	}
}

// checkShares checks how the route at path at shares its requests among services.
func (ck *checker) checkShares(at string, list []*schema.RouteShare) {
	ck.checkCount(joinPath(at, "shares"), len(list), maxShares)
	for i, sh := range list {
		field := elementPath(joinPath(at, "shares"), i)
		if !ck.services[sh.GetService()] {
			ck.addText(joinPath(field, "service"), sh.GetService(), "is not a service of this configuration")
		}
		ck.checkRange(joinPath(field, "weight"), uint64(sh.GetWeight()), maxShareWeight)
	}
}

// checkLimits checks the limits for callers. Zero stands for the default.
func (ck *checker) checkLimits(lm *schema.Limits) {
	if lm.GetMaxHeaderBytes() > maxHeaderBytes {
		ck.addNumber("limits.max-header-bytes", uint64(lm.GetMaxHeaderBytes()), "must be at most 1048576")
	}
	if lm.GetMaxBodyBytes() > maxBodyBytes {
		ck.addNumber("limits.max-body-bytes", lm.GetMaxBodyBytes(), "must be at most 67108864")
	}
}
