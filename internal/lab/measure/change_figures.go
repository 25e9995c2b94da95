package measure

import (
	"slices"
	"time"
)

// ChangeFigures are what a scenario of configuration showed.
type ChangeFigures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	Nodes    int    `json:"nodes"`
	// Versions counts the versions of which one content was accepted.
	Versions int `json:"versions"`
	// UnknownApplies counts applies that no replica accepted or refused in time.
	UnknownApplies int `json:"unsure"`
	// DoubleWinners counts versions of which two contents were accepted.
	DoubleWinners int `json:"double-winners"`
	// ChangedAnswers counts versions whose winner got different revisions.
	ChangedAnswers int `json:"changed-answers"`
	// Reverts counts nodes that went back to a lower revision, each time.
	Reverts int `json:"reverts"`
	// NotInForce counts accepted revisions that not every node had in force,
	// or a later one, when the run ended.
	NotInForce int `json:"not-in-force"`
	// AcceptP50MS and AcceptMaxMS are the times until an operator was told,
	// InForceP50MS and InForceMaxMS those from then until the revision, or a
	// later one, was in force on every node.
	AcceptP50MS  float64 `json:"accept-p50-ms"`
	AcceptMaxMS  float64 `json:"accept-max-ms"`
	InForceP50MS float64 `json:"in-force-p50-ms"`
	InForceMaxMS float64 `json:"in-force-max-ms"`
}

func (cg *changes) figures() ChangeFigures {
	fg := ChangeFigures{Arm: "policy", Nodes: len(cg.seen), UnknownApplies: cg.unsure, Reverts: cg.reverts()}
	winners := make(map[uint64]accepted)
	doubled, changed := make(map[uint64]bool), make(map[uint64]bool)
	var accepts, spreads []time.Duration
	for _, ac := range cg.accepted {
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
		if spread, ok := cg.spread(ac); ok {
			spreads = append(spreads, spread)
		} else {
			fg.NotInForce++
		}
	}
	fg.Versions, fg.DoubleWinners, fg.ChangedAnswers = len(winners), len(doubled), len(changed)
	fg.AcceptP50MS, fg.AcceptMaxMS = milliseconds(quantileOf(accepts, p50)), milliseconds(quantileOf(accepts, 1))
	fg.InForceP50MS, fg.InForceMaxMS = milliseconds(quantileOf(spreads, p50)), milliseconds(quantileOf(spreads, 1))
	return fg
}

// spread returns the time from the acceptance of a revision until every node
// had it or a later one, and false if one never had.
func (cg *changes) spread(ac accepted) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, list := range cg.seen {
		i := slices.IndexFunc(list, func(st sighting) bool { return st.revision >= ac.revision })
		if i < 0 {
			return 0, false
		}
		longest = max(longest, list[i].at.Sub(ac.at))
	}
	return longest, true
}

func (cg *changes) reverts() int {
	count := 0
	for _, list := range cg.seen {
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision {
				count++
			}
		}
	}
	return count
}

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }
