package quorum

import "maps"

// repairVoters makes a replica a voter again after it lost its disk, adds or substitutes live
// replicas as VoterCount requires, and moves voters out of a failure domain that holds
// several. It starts one change at a time, which takes effect once the voters before and
// after it have committed it.
func (ma *Machine) repairVoters() {
	latest, pending := ma.log.latestVoters()
	if pending || ma.commit < ma.lead.termStart || ma.lead.transfer.active {
		return
	}
	var next Voters
	var added []Replica
	shared := ma.sharedDomains(latest)
	for _, id := range ma.peers {
		pe := ma.lead.peers[id]
		alive := ma.now.Sub(pe.lastContact) < ma.set.ElectionTimeout
		if pe.inc == 0 || pe.inc == latest[id] || !alive || pe.match < pe.catchUpIndex {
			continue
		}
		if _, voter := latest[id]; voter {
			next = latest.with(id, pe.inc)
			break
		}
		if len(latest) < ma.set.VoterCount {
			added = append(added, id)
			continue
		}
		changed := ma.replaceVoter(latest, shared, id, pe.inc)
		if changed != nil && (next == nil || ma.sharedDomains(changed) < ma.sharedDomains(next)) {
			next = changed
		}
	}
	if next == nil {
		next = ma.addVoters(latest, added)
	}
	if next != nil {
		ma.appendEntry(Entry{Kind: VotersEntry, Voters: next})
	}
}

// addVoters returns the voters with one of the replicas added, or with two where one alone would end
// that a majority outlasts the loss of any failure domain: of three voters it does if they are in
// different ones, and of four only if all are. It prefers those by which fewest voters share one, and
// returns nil if there is no such addition.
func (ma *Machine) addVoters(latest Voters, ids []Replica) Voters {
	outlasts := ma.outlastsDomains(latest)
	for count := 1; count <= min(2, ma.set.VoterCount-len(latest)); count++ {
		var next Voters
		for i, id := range ids {
			one := latest.with(id, ma.lead.peers[id].inc)
			changes := []Voters{one}
			if count == 2 {
				changes = changes[:0]
				for _, other := range ids[i+1:] {
					changes = append(changes, one.with(other, ma.lead.peers[other].inc))
				}
			}
			for _, changed := range changes {
				if outlasts && !ma.outlastsDomains(changed) {
					continue
				}
				if next == nil || ma.sharedDomains(changed) < ma.sharedDomains(next) {
					next = changed
				}
			}
		}
		if next != nil {
			return next
		}
	}
	return nil
}

// outlastsDomains reports whether a majority of the voters is left after the loss of any failure
// domain. Voters whose failure domain is unknown count as if each had its own.
func (ma *Machine) outlastsDomains(vo Voters) bool {
	lost := make(map[FailureDomain]int)
	for id := range vo {
		fd := ma.domains[id]
		if fd != "" {
			lost[fd]++
		}
		if len(vo)-max(lost[fd], 1) < vo.majority() {
			return false
		}
	}
	return true
}

// replaceVoter returns the voters with a replica in the place of one that has not answered for
// ReplaceAfter, or else of one that shares a failure domain with another voter, if the replica does
// not. shared is the number of shared domains. replaceVoter returns nil if the replica is not needed.
func (ma *Machine) replaceVoter(latest Voters, shared int, id Replica, inc Incarnation) Voters {
	if ma.set.VoterCount == 0 {
		return nil
	}
	for _, other := range ma.peers {
		_, voter := latest[other]
		if voter && ma.now.Sub(ma.lead.peers[other].lastContact) >= ma.set.ReplaceAfter {
			return latest.without(other).with(id, inc)
		}
	}
	if shared == 0 {
		return nil
	}
	for _, other := range ma.peers {
		if _, voter := latest[other]; !voter {
			continue
		}
		if next := latest.without(other).with(id, inc); ma.sharedDomains(next) < shared {
			return next
		}
	}
	return nil
}

// sharedDomains returns the number of voters beyond the first of each failure domain. All of
// them are lost with that failure domain. A voter whose failure domain is unknown is not counted.
func (ma *Machine) sharedDomains(vo Voters) int {
	shared := 0
	for id := range vo {
		for other := range vo {
			if other < id && ma.domains[id] != "" && ma.domains[other] == ma.domains[id] {
				shared++
				break
			}
		}
	}
	return shared
}

// noteDomains records failure domains, and forgets those of replicas that are neither in the list
// nor voters.
func (ma *Machine) noteDomains(domains map[Replica]FailureDomain) {
	old := ma.domains
	ma.domains = maps.Clone(domains)
	for _, vc := range ma.log.changes {
		for id := range vc.voters {
			if _, known := domains[id]; !known && old[id] != "" {
				if ma.domains == nil {
					ma.domains = make(map[Replica]FailureDomain)
				}
				ma.domains[id] = old[id]
			}
		}
	}
}
