package soak

import (
	"encoding/json"

	"camphortrail/call"
)

// Headers of requests and answers.
const (
	requestIDHeader = "X-Request-Id"
	deadlineHeader  = "X-Deadline-Ms" // milliseconds
	instanceHeader  = "X-Expect-Instance"
	callerHeader    = "X-Caller-Service"
	signatureHeader = "X-Response-Signature"
	notRunHeader    = "X-Not-Executed"
	upstreamHeader  = "X-Instance-Id"
)

// Paths of calls.
const (
	readinessPath     = "/camphortrail/ready"
	reportPath        = "/camphortrail/instances/"
	configurationPath = "/camphortrail/config"
	healthPath        = "/healthz"
)

// Values of fields in documents.
const (
	stateReady    = "ready"
	stateDraining = "draining"

	typeRoute   = "routes"
	typeService = "services"
	typeLimits  = "limits"
)

// Kind says what may be repeated of a route.
type Kind string

// The kinds of routes.
const (
	Safe     Kind = "safe"
	Unsafe   Kind = "unsafe"
	Download Kind = "download"
)

// reportMessage is what an upstream says of itself.
type reportMessage struct {
	Service    call.Service       `json:"service"`
	Address    string             `json:"address"`
	Zone       call.FailureDomain `json:"zone"`
	Version    string             `json:"version"`
	Slots      int                `json:"slots"`
	State      string             `json:"state"`
	ColdLeftMS int64              `json:"coldLeftMs"`
	Seq        uint64             `json:"seq"`
	Born       int64              `json:"born"` // Unix milliseconds
}

// Version is the number that an operator gives a configuration.
type Version uint64

// Configuration is a whole configuration as an operator sends it.
type Configuration struct {
	Version     Version    `json:"version"`
	BaseVersion Version    `json:"baseVersion"`
	Resources   []Resource `json:"resources"`
}

// Resource is one resource of a configuration. Spec holds a Route, an upstreamService or the limits.
type Resource struct {
	Type     string   `json:"type"`
	Metadata Metadata `json:"metadata"`
	Spec     any      `json:"spec"`
}

// Metadata holds the name of a resource.
type Metadata struct {
	Name string `json:"name,omitempty"`
}

// Route is the spec of a route.
type Route struct {
	Host         string       `json:"host"`
	Prefix       string       `json:"prefix"`
	Kind         Kind         `json:"kind"`
	TimeoutMS    int64        `json:"timeoutMs"`
	TargetMS     int64        `json:"sloMs"`
	Priority     int          `json:"priority"`
	Service      call.Service `json:"service,omitempty"`
	TrafficSplit []Share      `json:"trafficSplit,omitempty"`
	Attempts     int          `json:"attempts"`
}

// Share is a service and its weight in the traffic split of a route.
type Share struct {
	Service call.Service `json:"service"`
	Weight  int          `json:"weight"`
}

// serviceSpec is the spec of a service.
type serviceSpec struct {
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// limitsSpec is the spec of the limits on requests.
type limitsSpec struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

// NewRoute returns a route as a resource.
func NewRoute(name string, ro Route) Resource {
	return Resource{Type: typeRoute, Metadata: Metadata{Name: name}, Spec: ro}
}

// newService returns a service as a resource.
func newService(name call.Service, maxConns int) Resource {
	return Resource{Type: typeService, Metadata: Metadata{Name: string(name)}, Spec: serviceSpec{
		HealthPath: healthPath, MaxConns: maxConns, Protocol: "h1",
	}}
}

// newLimits returns the limits on requests as a resource.
func newLimits() Resource {
	return Resource{Type: typeLimits, Spec: limitsSpec{
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000,
	}}
}

// encode returns the JSON form of a document.
func encode(document any) []byte {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err) // no document has cycles, channels or functions
	}
	return data
}
