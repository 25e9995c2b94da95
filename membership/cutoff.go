package membership

// When a whole failure domain is cut off, a suspicion for each of its members
// would have to reach everyone. Instead each process draws the conclusion from
// a few probes of its own, and the suspicions of a failure domain that has
// many are not spread any more.

const (
	// cutOffFailures is how many members of a failure domain fail a probe in
	// a row before the others are suspected too.
	cutOffFailures = 3
	// Suspicions are spread while a failure domain has fewer than minSuspects
	// of them, or than one for suspectShare present members.
	minSuspects  = 8
	suspectShare = 8
)

// spreadsSuspicion reports whether suspicions in the failure domain are worth
// spreading.
func (dm *domain) spreadsSuspicion() bool {
	return dm.suspects <= max(minSuspects, dm.present.len()/suspectShare)
}

// noteProbeFailure counts a failed probe in another failure domain, and suspects
// all its members when too many have failed. The remaining failure domains may
// be cut off too.
func (mc *Machine) noteProbeFailure(dm *domain) {
	dm.failures++
	if dm.failures < cutOffFailures || dm == mc.table.self.domain {
		return
	}
	for _, other := range mc.table.domains {
		mc.scheduleExplore(other)
	}
	for _, rec := range dm.alive() {
		was := rec.Member
		next := was
		next.State = Suspect
		mc.update(rec, next)
		rec.inferred = true
		mc.reportChange(was, rec)
	}
}

// noteContact takes back the conclusion from the failed probes, since a member
// of the failure domain was heard of. Suspicions that were kept back are
// spread now, so that they can be refuted.
func (mc *Machine) noteContact(dm *domain) {
	dm.failures = 0
	if dm.suspects == 0 {
		return
	}
	for i := dm.present.len() - 1; i >= 0; i-- {
		rec := dm.present.recs[i]
		switch {
		case rec.inferred:
			mc.clearInferred(rec)
		case rec.unspread:
			rec.unspread = false
			rec.due = mc.now.Add(mc.suspicionTime())
			mc.rumors.queue(rec, false)
		}
	}
}

// clearInferred takes a suspect as alive that was not probed itself.
func (mc *Machine) clearInferred(rec *record) {
	was := rec.Member
	next := was
	next.State = Alive
	mc.update(rec, next)
	mc.reportChange(was, rec)
}

// advertised is what this process says to others of the member: an inferred
// suspicion is kept to itself.
func (rec *record) advertised() Member {
	mb := rec.Member
	if rec.inferred {
		mb.State = Alive
	}
	return mb
}

// probeCandidates returns the members worth a probe when the failure domain may be
// cut off.
func (dm *domain) probeCandidates() []*record {
	var recs []*record
	for _, rec := range dm.present.recs {
		if rec.State == Alive || rec.inferred {
			recs = append(recs, rec)
		}
	}
	return recs
}
