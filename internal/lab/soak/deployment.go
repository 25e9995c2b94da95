package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
)

// ErrDeployment is returned for a description of a deployment that is unreadable or contradicts itself.
var ErrDeployment = errors.New("soak: deployment refused")

// Deployment describes a deployment: its machines and services, what operators configure, and what
// callers send.
type Deployment struct {
	Region         string               `json:"region"`
	FailureDomains []call.FailureDomain `json:"failure-domains"`
	// Controls is the number of control replicas.
	Controls int `json:"controls"`
	// NodeMemoryMB and ControlMemoryMB are the memory limits of the processes.
	NodeMemoryMB    int64   `json:"node-memory-mb"`
	ControlMemoryMB int64   `json:"control-memory-mb"`
	RetryRatio      float64 `json:"retry-ratio"`
	RetrySlack      float64 `json:"retry-slack"`
	// RevokeMS is the time after which a withdrawn key is no longer accepted, in milliseconds.
	RevokeMS float64       `json:"revoke-ms"`
	Services []ServiceSize `json:"services"`
	Routes   []RouteLoad   `json:"routes"`
	// Customers are those that share the deployment. Without any, requests need no key.
	Customers CustomerLoad `json:"customers"`
	// CallersPerNode is the number of kept connections at each node, and MaxGapMS the longest time
	// between two requests on one of them, in milliseconds. AheadShare is the share of callers that send
	// safe requests before earlier ones are answered.
	// ColdMS is the time after its start for which an upstream works for coldFactor times as long.
	ColdMS         int     `json:"cold-ms"`
	CallersPerNode int     `json:"callers-per-node"`
	MaxGapMS       int     `json:"max-gap-ms"`
	AheadShare     float64 `json:"ahead-share"`
}

// ServiceSize is a service of a deployment.
type ServiceSize struct {
	Name      call.Service `json:"name"`
	Upstreams int          `json:"upstreams"`
	// Slots is the number of requests that an upstream works on at once, and MaxConns that of its
	// connections.
	Slots    int `json:"slots"`
	MaxConns int `json:"max-conns"`
	// Queue is the number of requests that wait for a slot (default: a quarter of the slots). An
	// upstream that hangs never answers a request that finds the queue full.
	Queue int  `json:"queue"`
	Hangs bool `json:"hangs"`
}

// RouteLoad is a route and the requests that come on it.
type RouteLoad struct {
	Name      string       `json:"name"`
	Kind      Kind         `json:"kind"`
	Service   call.Service `json:"service"`
	TimeoutMS int64        `json:"timeout-ms"`
	TargetMS  int64        `json:"target-ms"`
	Priority  int          `json:"priority"`
	// Weight is the share of the route among the requests of callers. It is 0 for a route that only
	// upstreams call.
	Weight float64 `json:"weight"`
	// DeadlineMS is the time for which the sender waits, in milliseconds.
	DeadlineMS int64 `json:"deadline-ms"`
	// WorkMS is the mean time of the work of a request in milliseconds, Spread the standard deviation
	// of its logarithm, and MaxWorkMS its bound.
	WorkMS    float64 `json:"work-ms"`
	Spread    float64 `json:"spread"`
	MaxWorkMS float64 `json:"max-work-ms"`
	// BodyBytes and AnswerBytes are the mean lengths of bodies.
	BodyBytes   int         `json:"body-bytes"`
	AnswerBytes int         `json:"answer-bytes"`
	Calls       []RouteCall `json:"calls"`
}

// RouteCall is a call that the work of a request makes a number of times, one after the other or all
// together.
type RouteCall struct {
	Route    string `json:"route"`
	Times    int    `json:"times"`
	Together bool   `json:"together"`
}

// CustomerLoad is the customers of a deployment. The share of a customer among the requests falls with
// its number, to the power of Skew.
type CustomerLoad struct {
	Count int     `json:"count"`
	Skew  float64 `json:"skew"`
	// RatePerS and Burst are the usage cap of the largest customer, which the others share in
	// proportion. Without them there is no cap.
	RatePerS float64 `json:"rate-per-s"`
	Burst    float64 `json:"burst"`
}

// LoadDeployment reads a description of a deployment from a JSON file. The error matches
// ErrDeployment.
func LoadDeployment(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrDeployment, err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	dep := new(Deployment)
	if err := dec.Decode(dep); err != nil {
		return nil, errors.Wrapf(ErrDeployment, "%s: %v", path, err)
	}
	if err := dep.check(); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return dep, nil
}

// check reports what would make a run of the deployment fail.
func (dep *Deployment) check() error {
	refuse := func(format string, args ...any) error {
		return errors.Wrap(ErrDeployment, fmt.Sprintf(format, args...))
	}
	if len(dep.FailureDomains) == 0 || dep.Controls <= 0 || dep.NodeMemoryMB <= 0 || dep.ControlMemoryMB <= 0 {
		return refuse("failure-domains, controls and memory limits must be set")
	}
	if dep.CallersPerNode <= 0 || dep.MaxGapMS <= 0 {
		return refuse("callers-per-node and max-gap-ms must be positive")
	}
	for _, sz := range dep.Services {
		if sz.Upstreams <= 0 || sz.Slots <= 0 || sz.MaxConns <= 0 {
			return refuse("service %s: upstreams, slots and max-conns must be positive", sz.Name)
		}
	}
	weights := 0.0
	for i, ro := range dep.Routes {
		weights += ro.Weight
		if !slices.ContainsFunc(dep.Services, func(sz ServiceSize) bool { return sz.Name == ro.Service }) {
			return refuse("route %s: no service %s", ro.Name, ro.Service)
		}
		if ro.TimeoutMS <= 0 || ro.DeadlineMS <= 0 || ro.WorkMS <= 0 {
			return refuse("route %s: timeout-ms, deadline-ms and work-ms must be positive", ro.Name)
		}
		for _, rc := range ro.Calls {
			// Calls go to later routes, so that no tree is endless.
			if !slices.ContainsFunc(dep.Routes[i+1:], func(ro RouteLoad) bool { return ro.Name == rc.Route }) {
				return refuse("route %s: calls %s, which is no later route", ro.Name, rc.Route)
			}
		}
	}
	if weights <= 0 {
		return refuse("no route has a weight")
	}
	return nil
}

// Scale multiplies the upstreams of each service by a factor. At least one stays.
func (dep *Deployment) Scale(factor float64) {
	for i := range dep.Services {
		sz := &dep.Services[i]
		sz.Upstreams = max(1, int(math.Round(float64(sz.Upstreams)*factor)))
	}
}

// route returns the route with a name, or nil.
func (dep *Deployment) route(name string) *RouteLoad {
	for i := range dep.Routes {
		if dep.Routes[i].Name == name {
			return &dep.Routes[i]
		}
	}
	return nil
}

func (ro *RouteLoad) timeout() time.Duration { return time.Duration(ro.TimeoutMS) * time.Millisecond }

func (ro *RouteLoad) deadline() time.Duration { return time.Duration(ro.DeadlineMS) * time.Millisecond }
