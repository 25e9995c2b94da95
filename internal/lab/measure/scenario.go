package measure

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

// The call graph of the scenarios: each service calls the next. The deepest service
// limits the capacity.
const (
	front   call.Service = "sportello"
	middle  call.Service = "emissione"
	deepest call.Service = "cassa"
)

const (
	deploymentName = "measure"
	answerBytes    = 512
	bodyBytes      = 256

	// deepestSlots is the number of slots on each VM of the deepest service.
	deepestSlots       = 8
	deepestServiceTime = 40 * time.Millisecond
	deepestVMs         = 2
	// capacity is the capacity of the deepest service in requests per second.
	capacity = deepestVMs * deepestSlots * float64(time.Second) / float64(deepestServiceTime)

	// rootTimeout is the time for which a caller waits for a root, over all its sends.
	rootTimeout    = time.Second
	sendTimeout    = 500 * time.Millisecond
	resends        = 2
	maxBackoff     = 50 * time.Millisecond
	maxOutstanding = 20_000
)

// scenario is a disturbance that both arms are exposed to: a change of demand, a fault,
// or both.
type scenario struct {
	streams []stream
	// expectedGoodput is the goodput during the trigger that counts as 1, in root requests
	// per second; 0 means the rate of arrivals.
	expectedGoodput float64
	// startFault and endFault start and end the fault of the trigger, if it has one.
	startFault, endFault func(*fleet) error
	// instant says that the trigger has no duration: the recovery time counts from its
	// start.
	instant bool
	// silenceable makes nodes use connections that can be silenced.
	silenceable bool
}

// stream describes the arrivals of one kind of request at constant mean rates.
type stream struct {
	pattern standin.Pattern
	// normalDemand and triggerDemand are the rates outside and during the trigger, as a
	// share of capacity.
	normalDemand, triggerDemand float64
}

var (
	lookup = standin.Pattern{
		Class: "lookup", Importance: 7, Method: "GET", Path: "/sportello/lookups", AnswerBytes: answerBytes,
	}
	issue = standin.Pattern{
		Class: "issue", Importance: 4, Method: "POST", Path: "/sportello/issues",
		Keyed: true, BodyBytes: bodyBytes, AnswerBytes: answerBytes,
	}
	list = standin.Pattern{
		Class: "list", Importance: 1, Method: "GET", Path: "/sportello/lists", AnswerBytes: answerBytes,
	}
)

// scenarios holds the scenarios with two arms by name, except latency.
var scenarios = map[string]scenario{
	// Demand is three times the capacity. The most important class alone needs 30 % of it.
	"surge": {
		streams:         []stream{{lookup, 0.3, 0.3}, {issue, 0.1, 0.2}, {list, 0.3, 2.5}},
		expectedGoodput: capacity,
	},
	// The service time of the deepest service is five times as long while demand is 1.5
	// times the normal capacity. The most important class alone fits the capacity that is
	// left.
	"slow-deep": {
		streams:         []stream{{lookup, 0.15, 0.15}, {issue, 0.1, 0.1}, {list, 0.45, 1.25}},
		expectedGoodput: capacity / slowFactor,
		startFault:      func(ft *fleet) error { return ft.setServiceTime(deepest, slowFactor*deepestServiceTime) },
		endFault:        func(ft *fleet) error { return ft.setServiceTime(deepest, deepestServiceTime) },
	},
	// All established connections between nodes drop data in both directions. New
	// connections work.
	"silent": {
		streams:     []stream{{lookup, 0.3, 0.3}, {issue, 0.1, 0.1}, {list, 0.3, 0.3}},
		startFault:  (*fleet).silenceConnections,
		instant:     true,
		silenceable: true,
	},
	// Each upstream spoils one answer in twenty after it ran the work, each with another
	// fault.
	"faults": {
		streams:    []stream{{lookup, 0.2, 0.2}, {issue, 0.1, 0.1}, {list, 0.2, 0.2}},
		startFault: func(ft *fleet) error { return ft.setFaults(faultInterval) },
		endFault:   func(ft *fleet) error { return ft.setFaults(0) },
	},
}

// faultInterval is the interval, in answers, at which an upstream spoils one.
const faultInterval = 20

// slowFactor is the factor by which slow-deep extends the service time.
const slowFactor = 5

// vms returns two upstreams of each service.
func vms() []standin.UpstreamOptions {
	services := []standin.UpstreamOptions{
		{Service: front, Slots: 32, ServiceTime: 5 * time.Millisecond, Calls: callsBetween(front, middle)},
		{Service: middle, Slots: 24, ServiceTime: 5 * time.Millisecond, Calls: callsBetween(middle, deepest)},
		{Service: deepest, Slots: deepestSlots, ServiceTime: deepestServiceTime},
	}
	var list []standin.UpstreamOptions
	for _, opt := range services {
		opt.Connections, opt.AnswerBytes = 1000, answerBytes
		for _, suffix := range []string{"-1", "-2"} {
			opt.VM = string(opt.Service) + suffix
			list = append(list, opt)
		}
	}
	return list
}

// callsBetween returns the calls from one service to another for all kinds of request.
func callsBetween(from, to call.Service) []standin.Call {
	var calls []standin.Call
	for _, pt := range []standin.Pattern{lookup, issue, list} {
		tail := "/" + kindName(pt)
		calls = append(calls, standin.Call{Method: pt.Method, From: "/" + string(from) + tail, To: "/" + string(to) + tail})
	}
	return calls
}

// kindName returns the name of the kind of request of a pattern, as in its path.
func kindName(pt standin.Pattern) string { return string(pt.Class) + "s" }

// configuration returns the configuration of the scenarios.
func configuration() *schema.Configuration {
	cfg := &schema.Configuration{
		Deployment: deploymentName, Version: 1,
		FailureDomains: []*schema.FailureDomain{{Name: domain, Region: deploymentName}},
	}
	retries := map[call.Class]uint32{lookup.Class: 3, issue.Class: 2, list.Class: 1}
	patterns := []standin.Pattern{lookup, issue, list}
	for _, pt := range patterns {
		cfg.Classes = append(cfg.Classes, &schema.Class{Name: string(pt.Class), Importance: uint32(pt.Importance)})
	}
	for _, service := range []call.Service{front, middle, deepest} {
		sv := &schema.Service{
			Name: string(service), RetryRatioPercent: 10, MaxRequestBytes: 1 << 16, MaxAnswerBytes: 1 << 16, KeyRetentionS: 60,
		}
		for _, pt := range patterns {
			sv.Requests = append(sv.Requests, &schema.RequestKind{
				Name: kindName(pt), Method: pt.Method, PathPrefix: "/" + string(service) + "/" + kindName(pt),
				Class: string(pt.Class), Idempotent: pt.Method == "GET", KeyRequired: pt.Keyed,
				DeadlineMs: uint32(rootTimeout.Milliseconds()), RetryTotal: retries[pt.Class],
			})
		}
		cfg.Services = append(cfg.Services, sv)
	}
	return cfg
}
