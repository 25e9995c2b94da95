// Package header defines the names of the HTTP headers that callers, upstreams and nodes
// exchange, and writes and parses headers.
package header

// Headers that callers and upstreams use.
const (
	// Request is the id of the root request.
	Request = "Camphortrail-Request"
	// Attempt is the id of the attempt that an upstream runs. The upstream copies it to
	// the calls that it makes for the attempt.
	Attempt = "Camphortrail-Attempt"
	// Outcome is the outcome of a request: done, not-run or unknown.
	Outcome = "Camphortrail-Outcome"
	// Reason is the reason why a request was refused or why its outcome is unknown.
	Reason = "Camphortrail-Reason"
	// ResendCount is the number of times that the caller has sent the request before.
	ResendCount = "Camphortrail-Resend"
	// EarlierOutcome is "not-run" when all earlier sends of the request were answered
	// with that outcome.
	EarlierOutcome = "Camphortrail-Earlier"
	// DeadlineMS is the remaining time of a request, in milliseconds.
	DeadlineMS = "Camphortrail-Deadline-Ms"
	// IdempotencyKey is the idempotency key of a non-idempotent request.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter is the time after which a caller may send the request again, in seconds.
	RetryAfter = "Retry-After"
	// Authorization holds the key of a customer, as "Token KEY".
	Authorization = "Authorization"
	// Customer tells an upstream the name of the customer of a request.
	Customer = "Camphortrail-Customer"
)

// RetryAfterMS is the time after which a caller may send the request again, in
// milliseconds.
const RetryAfterMS = "Camphortrail-Retry-After-Ms"

// Prefix is the prefix of the names of all headers that the system defines.
const Prefix = "Camphortrail-"
