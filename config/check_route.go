package config

import (
	"strings"

	"camphortrail/schema"
)

// Bounds of routes and limits.
const (
	maxRoutes      = 1 << 15
	maxShares      = 64
	maxLabelBytes  = 255
	maxAttempts    = 20
	maxShareWeight = 1 << 20
	maxHeaderBytes = 1 << 20
)

func (ck *checker) allRoutes(list []*schema.Route) {
	if len(list) > maxRoutes {
		ck.number(fieldRoutes, uint64(len(list)), "has more than 32768 elements")
		return
	}
	places, ns := make(names), make(names)
	for i, rt := range list {
		at := index(fieldRoutes, i)
		ck.label(join(at, "name"), rt.GetName())
		ck.unique(ns, join(at, "name"), rt.GetName())
		ck.label(join(at, "host"), rt.GetHost())
		ck.routePrefix(join(at, "path-prefix"), rt.GetPathPrefix())
		ck.unique(places, join(at, "path-prefix"), strings.ToLower(rt.GetHost())+" "+rt.GetPathPrefix())
		ck.within(join(at, "importance"), uint64(rt.GetImportance()), 7)
		ck.within(join(at, "deadline-ms"), uint64(rt.GetDeadlineMs()), maxDeadlineMs)
		ck.within(join(at, "attempts"), uint64(rt.GetAttempts()), maxAttempts)
		ck.shares(at, rt.GetShares())
	}
}

// label checks a text that other systems choose, and of which only the bounds
// matter here.
func (fs *findings) label(field, value string) {
	if value == "" || len(value) > maxLabelBytes {
		fs.text(field, value, "must have from 1 to 255 bytes")
	}
}

func (fs *findings) routePrefix(field, prefix string) {
	if len(prefix) > maxPrefixBytes || !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		fs.text(field, prefix, "must begin and end with a slash, in up to 256 bytes")
	}
}

func (ck *checker) shares(at string, list []*schema.RouteShare) {
	ck.count(join(at, "shares"), len(list), maxShares)
	for i, sh := range list {
		field := index(join(at, "shares"), i)
		if !ck.services[sh.GetService()] {
			ck.text(join(field, "service"), sh.GetService(), "is not a service of this configuration")
		}
		ck.within(join(field, "weight"), uint64(sh.GetWeight()), maxShareWeight)
	}
}

func (ck *checker) limits(lm *schema.Limits) {
	if lm.GetMaxHeaderBytes() > maxHeaderBytes {
		ck.number("limits.max-header-bytes", uint64(lm.GetMaxHeaderBytes()), "must be at most 1048576")
	}
	if lm.GetMaxBodyBytes() > maxBodyBytes {
		ck.number("limits.max-body-bytes", lm.GetMaxBodyBytes(), "must be at most 67108864")
	}
}
