package config

import (
	"strconv"

	"camphortrail/schema"
)

// Bounds of a group of stand-in upstreams. maxSlots also bounds the connections.
const (
	maxServers = 1000
	maxSlots   = 100_000
)

// LoadFleet reads and checks the stand-in upstreams of an example deployment. If the file
// can be read but is invalid, the error is of type Problems, which matches ErrInvalid.
func LoadFleet(path string) (*schema.Fleet, error) {
	fl := &schema.Fleet{}
	problems, err := decodeFile(path, fl)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, problems
	}
	if err := checkFleet(path, fl).err(); err != nil {
		return nil, err
	}
	return fl, nil
}

// checkFleet returns all problems of the stand-in upstreams in a file.
func checkFleet(file string, fl *schema.Fleet) Problems {
	ck := &checker{findings: findings{file: file}}
	ck.checkCount("groups", len(fl.GetGroups()), maxServices*maxFailureDomains)
	groups := make(fieldByValue)
	for i, fg := range fl.GetGroups() {
		at := elementPath("groups", i)
		ck.checkName(joinPath(at, "service"), fg.GetService())
		ck.checkName(joinPath(at, "failure-domain"), fg.GetFailureDomain())
		ck.checkUnique(groups, at, fg.GetService()+" in "+fg.GetFailureDomain())
		ck.checkRange(joinPath(at, "servers"), uint64(fg.GetServers()), maxServers)
		ck.checkRange(joinPath(at, "slots"), uint64(fg.GetSlots()), maxSlots)
		ck.checkRange(joinPath(at, "connections"), uint64(fg.GetConnections()), maxSlots)
	}
	calls := make(fieldByValue)
	for i, fc := range fl.GetCalls() {
		at := elementPath("calls", i)
		ck.checkMethod(joinPath(at, "method"), fc.GetMethod())
		ck.checkPath(joinPath(at, "path-prefix"), fc.GetPathPrefix())
		ck.checkPath(joinPath(at, "to"), fc.GetTo())
		ck.checkUnique(calls, at, fc.GetMethod()+" "+fc.GetPathPrefix()+" to "+fc.GetTo())
	}
	return ck.problems
}

// checkPath checks a path or path prefix and reports whether it is valid.
func (fs *findings) checkPath(field, prefix string) bool {
	if len(prefix) <= maxPrefixBytes && isCleanPath(prefix) {
		return true
	}
	fs.addText(field, prefix, "must be up to "+strconv.Itoa(maxPrefixBytes)+
		" bytes, begin with / and have no empty or dot segments")
	return false
}
