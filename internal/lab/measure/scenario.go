package measure

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

// The call graph of the scenarios: each service calls the next. The deepest
// one bounds the capacity.
const (
	front   call.Service = "sportello"
	middle  call.Service = "emissione"
	deepest call.Service = "cassa"
)

const (
	deploymentName = "measure"
	answerBytes    = 512
	bodyBytes      = 256

	// deepSlots is the number of slots on each VM of the deepest service.
	deepSlots = 8
	deepWork  = 40 * time.Millisecond
	deepVMs   = 2
	// capacity is what the deepest service runs, in requests a second.
	capacity = deepVMs * deepSlots * float64(time.Second) / float64(deepWork)

	// patience is the time for which a caller waits, over all its sends.
	patience    = time.Second
	sendTimeout = 500 * time.Millisecond
	resends     = 2
	resendPause = 50 * time.Millisecond
	outstanding = 20_000
)

// scenario is a trigger that all arms are put through.
type scenario struct {
	streams []stream
	// expected is the goodput during the trigger to which goodput is
	// compared, in root requests a second; 0 means what arrived.
	expected float64
	// trigger and relief start and end what goes wrong, beside demand.
	trigger, relief func(*fleet) error
	// instant says that the trigger has no length: recovery counts from its
	// start.
	instant bool
	// silenceable makes the connections between nodes subject to silence.
	silenceable bool
}

// stream is a steady flow of one kind of request.
type stream struct {
	pattern standin.Pattern
	// normal and trigger are rates in shares of the capacity.
	normal, trigger float64
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

// scenarios by name, but for latency.
var scenarios = map[string]scenario{
	// Three times the capacity; important work alone needs 30 % of it.
	"surge": {
		streams:  []stream{{lookup, 0.3, 0.3}, {issue, 0.1, 0.2}, {list, 0.3, 2.5}},
		expected: capacity,
	},
	// The deepest service takes five times as long while demand is 1.5 times
	// the capacity of before. Important work alone fits what is left.
	"slow-deep": {
		streams:  []stream{{lookup, 0.15, 0.15}, {issue, 0.1, 0.1}, {list, 0.45, 1.25}},
		expected: capacity / slowFactor,
		trigger:  func(ft *fleet) error { return ft.setWork(deepest, slowFactor*deepWork) },
		relief:   func(ft *fleet) error { return ft.setWork(deepest, deepWork) },
	},
	// All connections between nodes swallow what is sent on them; new ones
	// work.
	"silent": {
		streams:     []stream{{lookup, 0.3, 0.3}, {issue, 0.1, 0.1}, {list, 0.3, 0.3}},
		trigger:     (*fleet).silence,
		instant:     true,
		silenceable: true,
	},
	// Each upstream spoils one answer in twenty after it ran the work, each
	// in a way of its own.
	"faults": {
		streams: []stream{{lookup, 0.2, 0.2}, {issue, 0.1, 0.1}, {list, 0.2, 0.2}},
		trigger: func(ft *fleet) error { return ft.setFaults(faultInterval) },
		relief:  func(ft *fleet) error { return ft.setFaults(0) },
	},
}

// faultInterval is the number of requests of which an upstream spoils one.
const faultInterval = 20

const slowFactor = 5

// vms returns the upstreams of the scenarios, without addresses.
func vms() []standin.UpstreamOptions {
	services := []standin.UpstreamOptions{
		{Service: front, Slots: 32, ServiceTime: 5 * time.Millisecond, Calls: next(front, middle)},
		{Service: middle, Slots: 24, ServiceTime: 5 * time.Millisecond, Calls: next(middle, deepest)},
		{Service: deepest, Slots: deepSlots, ServiceTime: deepWork},
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

// next returns the calls of one service to another for all kinds of request.
func next(from, to call.Service) []standin.Call {
	var calls []standin.Call
	for _, pt := range []standin.Pattern{lookup, issue, list} {
		tail := "/" + kindName(pt)
		calls = append(calls, standin.Call{Method: pt.Method, From: "/" + string(from) + tail, To: "/" + string(to) + tail})
	}
	return calls
}

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
				DeadlineMs: uint32(patience.Milliseconds()), RetryTotal: retries[pt.Class],
			})
		}
		cfg.Services = append(cfg.Services, sv)
	}
	return cfg
}
