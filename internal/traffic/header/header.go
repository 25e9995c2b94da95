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
	// ResendCount is the number of times that the caller has sent the request
	// before.
	ResendCount = "Camphortrail-Resend"
	// EarlierOutcome is "not-run" when all earlier sends of the request were
	// answered with that outcome.
	EarlierOutcome = "Camphortrail-Earlier"
	// DeadlineMS is the remaining time of a request, in milliseconds.
	DeadlineMS = "Camphortrail-Deadline-Ms"
	// IdempotencyKey is the idempotency key of a non-idempotent request.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter is the time after which a caller may come back, in seconds.
	RetryAfter = "Retry-After"
)

// RetryAfterMS is the time after which a caller may come back, in milliseconds.
const RetryAfterMS = "Camphortrail-Retry-After-Ms"

// Prefix starts the names of all headers of the system.
const Prefix = "Camphortrail-"
