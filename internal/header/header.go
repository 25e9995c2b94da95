// Package header names the HTTP headers that callers, upstreams and nodes
// exchange.
package header

// Headers that callers and upstreams use.
const (
	// Request is the id of the root request.
	Request = "Camphortrail-Request"
	// Attempt is the id of the attempt that an upstream is running. The
	// upstream copies it to the calls that it makes for the attempt.
	Attempt = "Camphortrail-Attempt"
	// Outcome is the outcome of a request: done, not-run or unknown.
	Outcome = "Camphortrail-Outcome"
	// Reason tells why a request was refused or why its outcome is unknown.
	Reason = "Camphortrail-Reason"
	// Resend is the number of times that the caller has sent the request
	// before.
	Resend = "Camphortrail-Resend"
	// Earlier is "not-run" when all earlier sends of the request were
	// answered with that outcome.
	Earlier = "Camphortrail-Earlier"
	// DeadlineMS is the remaining time of a request, in milliseconds.
	DeadlineMS = "Camphortrail-Deadline-Ms"
	// Key is the idempotency key of a non-idempotent request.
	Key = "Idempotency-Key"
	// RetryAfter is the time after which a caller may come back, in seconds.
	RetryAfter = "Retry-After"
)

// Headers that nodes exchange.
const (
	// Service is the service that an attempt is for.
	Service = "Camphortrail-Service"
	// Importance is the importance of the root request.
	Importance = "Camphortrail-Importance"
	// Depth is the number of calls above this one.
	Depth = "Camphortrail-Depth"
	// Allowance is the number of retries that an attempt carries down.
	Allowance = "Camphortrail-Allowance"
	// Unused is the number of retries that an answer brings back.
	Unused = "Camphortrail-Unused"
	// Idempotent is "true" on attempts of idempotent requests.
	Idempotent = "Camphortrail-Idempotent"
	// MaxAnswer is the largest answer that is accepted, in bytes.
	MaxAnswer = "Camphortrail-Max-Answer"
	// Stamp is a reading of the guard's clock; see package withdrawal.
	Stamp = "Camphortrail-Stamp"
	// Level is the admission level of the guard that answers.
	Level = "Camphortrail-Level"
	// Pressure is the level up to which work waited at the guard that
	// answers.
	Pressure = "Camphortrail-Pressure"
	// RetryAfterMS is the time after which a retry may succeed, in
	// milliseconds.
	RetryAfterMS = "Camphortrail-Retry-After-Ms"
	// WorkUS is the time that the upstream took, in microseconds.
	WorkUS = "Camphortrail-Work-Us"
)

// Prefix starts the names of all headers of the system.
const Prefix = "Camphortrail-"
