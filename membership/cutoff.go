package membership

// If a whole failure domain is cut off, a suspicion for each of its members would have to
// reach every process. Instead each process infers the suspicions from a few failed probes of
// its own, and suspicions in a failure domain that already has many are not spread.

const (
	// cutOffFailures is the number of failed probes in a failure domain, without any sign
	// of life from it in between, after which its other members are suspected too.
	cutOffFailures = 3
	// Suspicions in a failure domain are spread while it has at most minSuspects
	// suspects, or at most one per suspectShare present members.
	minSuspects  = 8
	suspectShare = 8
)

// spreadsSuspicion reports whether suspicions in the failure domain are spread.
func (dm *domain) spreadsSuspicion() bool {
	return dm.suspects <= max(minSuspects, dm.present.len()/suspectShare)
}

// noteProbeFailure counts a failed probe. Once too many have failed in another failure
// domain, it suspects all members of that one, and schedules probes in every failure
// domain, since others may be cut off too.
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

// noteContact handles a sign of life from a failure domain: it withdraws the suspicions
// that were inferred from failed probes, and spreads those that were not spread, so that
// the suspects can refute.
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

// clearInferred marks as alive a suspect whose suspicion was inferred.
func (mc *Machine) clearInferred(rec *record) {
	was := rec.Member
	next := was
	next.State = Alive
	mc.update(rec, next)
	mc.reportChange(was, rec)
}

// advertised returns the record that this process sends to others. It leaves out an
// inferred suspicion, since each process infers these from its own probes.
func (rec *record) advertised() Member {
	mb := rec.Member
	if rec.inferred {
		mb.State = Alive
	}
	return mb
}

// probeCandidates returns the members to probe in order to find out whether the failure
// domain is cut off.
func (dm *domain) probeCandidates() []*record {
	var recs []*record
	for _, rec := range dm.present.recs {
		if rec.State == Alive || rec.inferred {
			recs = append(recs, rec)
		}
	}
	return recs
}
