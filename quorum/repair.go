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
		changed := ma.addVoter(latest, shared, id, pe.inc)
		if changed != nil && (next == nil || ma.sharedDomains(changed) < ma.sharedDomains(next)) {
			next = changed
		}
	}
	if next != nil {
		ma.appendEntry(Entry{Kind: VotersEntry, Voters: next})
	}
}

// addVoter returns the voters with a replica added that is none. If there are enough voters, it
// replaces one that has not answered for ReplaceAfter, or else one that shares a failure domain
// with another voter, if the replica does not. shared is the number of shared domains. addVoter
// returns nil if the replica is not needed.
func (ma *Machine) addVoter(latest Voters, shared int, id Replica, inc Incarnation) Voters {
	if len(latest) < ma.set.VoterCount {
		return latest.with(id, inc)
	}
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
