package soak

import "camphortrail/platform/document"

// Names of the platform.
const (
	requestIDHeader   = document.RequestIDHeader
	deadlineHeader    = document.DeadlineHeader
	instanceHeader    = document.InstanceHeader
	signatureHeader   = document.SignatureHeader
	notRunHeader      = document.NotRunHeader
	upstreamHeader    = document.UpstreamHeader
	readinessPath     = document.ReadinessPath
	reportPath        = document.ReportPath
	configurationPath = document.ConfigurationPath
	healthPath        = document.HealthPath
	keyHeader         = document.KeyHeader
	keyScheme         = document.KeyScheme
	stateReady        = document.StateReady
	stateDraining     = document.StateDraining
)

// The kinds of routes.
const (
	Safe     = document.Safe
	Unsafe   = document.Unsafe
	Download = document.Download
	Upload   = document.Upload
)

// Documents of the platform.
type (
	// Kind is document.Kind.
	Kind = document.Kind
	// Version is document.Version.
	Version = document.Version
	// Configuration is document.Configuration.
	Configuration = document.Configuration
	// Resource is document.Resource.
	Resource = document.Resource
	// Metadata is document.Metadata.
	Metadata = document.Metadata
	// Route is document.Route.
	Route = document.Route
	// Share is document.Share.
	Share         = document.Share
	reportMessage = document.Report
)
