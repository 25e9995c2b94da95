package config

import (
	"strconv"

	"camphortrail/schema"
)

// Bounds of a fleet.
const (
	maxServers = 1000
	maxSlots   = 100_000
)

// LoadFleet reads the stand-in upstreams of an example deployment and checks
// them. A file that can be read but is refused gives Problems, which match
// ErrInvalid.
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

func checkFleet(file string, fl *schema.Fleet) Problems {
	ck := &checker{findings: findings{file: file}}
	ck.count("groups", len(fl.GetGroups()), maxServices*maxFailureDomains)
	groups := make(names)
	for i, fg := range fl.GetGroups() {
		at := index("groups", i)
		ck.name(join(at, "service"), fg.GetService())
		ck.name(join(at, "failure-domain"), fg.GetFailureDomain())
		ck.unique(groups, at, fg.GetService()+" in "+fg.GetFailureDomain())
		ck.within(join(at, "servers"), uint64(fg.GetServers()), maxServers)
		ck.within(join(at, "slots"), uint64(fg.GetSlots()), maxSlots)
		ck.within(join(at, "connections"), uint64(fg.GetConnections()), maxSlots)
	}
	calls := make(names)
	for i, fc := range fl.GetCalls() {
		at := index("calls", i)
		ck.method(join(at, "method"), fc.GetMethod())
		ck.plain(join(at, "path-prefix"), fc.GetPathPrefix())
		ck.plain(join(at, "to"), fc.GetTo())
		ck.unique(calls, at, fc.GetMethod()+" "+fc.GetPathPrefix()+" to "+fc.GetTo())
	}
	return ck.problems
}

func (fs *findings) plain(field, prefix string) bool {
	if len(prefix) <= maxPrefixBytes && plainPath(prefix) {
		return true
	}
	fs.text(field, prefix, "must be up to "+strconv.Itoa(maxPrefixBytes)+
		" bytes, begin with / and have no empty or dot segments")
	return false
}
