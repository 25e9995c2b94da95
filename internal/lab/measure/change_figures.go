package measure

import (
	"slices"
	"time"
)

// ChangeFigures holds the results of the scenarios rollout and failover.
type ChangeFigures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	Nodes    int    `json:"nodes"`
	// Versions counts the versions for which at least one content was accepted.
	Versions int `json:"versions"`
	// UnknownApplies counts the applies that no replica accepted or refused in time.
	UnknownApplies int `json:"unsure"`
	// DoubleWinners counts the versions for which two different contents were accepted.
	DoubleWinners int `json:"double-winners"`
	// ChangedAnswers counts the versions that were accepted with different revisions.
	ChangedAnswers int `json:"changed-answers"`
	// Reverts counts how often a node went back to a lower revision.
	Reverts int `json:"reverts"`
	// NotInForce counts the accepted revisions that some node never had in force, nor a
	// later one, during the run.
	NotInForce int `json:"not-in-force"`
	// AcceptP50MS and AcceptMaxMS are the times in milliseconds until an operator got its
	// answer. InForceP50MS and InForceMaxMS are the times from that answer until every node
	// had the revision, or a later one, in force.
	AcceptP50MS  float64 `json:"accept-p50-ms"`
	AcceptMaxMS  float64 `json:"accept-max-ms"`
	InForceP50MS float64 `json:"in-force-p50-ms"`
	InForceMaxMS float64 `json:"in-force-max-ms"`
}

// figures computes the figures. The first accepted apply of each version is its winner.
func (cr *changeRecord) figures() ChangeFigures {
	fg := ChangeFigures{Arm: "policy", Nodes: len(cr.observed), UnknownApplies: cr.unknown, Reverts: cr.reverts()}
	winners := make(map[uint64]acceptedApply)
	doubled, changed := make(map[uint64]bool), make(map[uint64]bool)
	var accepts, propagations []time.Duration
	for _, ac := range cr.accepted {
		first, known := winners[ac.version]
		if known {
			if first.operator != ac.operator {
				doubled[ac.version] = true
			}
			if first.revision != ac.revision {
				changed[ac.version] = true
			}
			continue
		}
		winners[ac.version] = ac
		accepts = append(accepts, ac.took)
		if propagation, ok := cr.propagationTime(ac); ok {
			propagations = append(propagations, propagation)
		} else {
			fg.NotInForce++
		}
	}
	fg.Versions, fg.DoubleWinners, fg.ChangedAnswers = len(winners), len(doubled), len(changed)
	fg.AcceptP50MS, fg.AcceptMaxMS = milliseconds(quantileOf(accepts, p50)), milliseconds(quantileOf(accepts, 1))
	fg.InForceP50MS, fg.InForceMaxMS = milliseconds(quantileOf(propagations, p50)), milliseconds(quantileOf(propagations, 1))
	return fg
}

// propagationTime returns the time from the acceptance of a revision until every node had
// it or a later one in force. It returns false if a node never had.
func (cr *changeRecord) propagationTime(ac acceptedApply) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, list := range cr.observed {
		i := slices.IndexFunc(list, func(ob observedRevision) bool { return ob.revision >= ac.revision })
		if i < 0 {
			return 0, false
		}
		longest = max(longest, list[i].at.Sub(ac.at))
	}
	return longest, true
}

// reverts counts how often a node went back to a lower revision.
func (cr *changeRecord) reverts() int {
	count := 0
	for _, list := range cr.observed {
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision {
				count++
			}
		}
	}
	return count
}

// milliseconds returns a duration in milliseconds, rounded to four decimal places.
func milliseconds(d time.Duration) float64 { return roundTo4(float64(d) / float64(time.Millisecond)) }
