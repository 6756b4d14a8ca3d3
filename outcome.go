package teaselstream

import (
	"errors"
	"net/http"
	"time"
)

// Outcome says whether a request ran on a backend server.
type Outcome uint8

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run: no byte of it could have reached a server, or each server that
	// got it stated that it did not run it.
	NotRun
	// Ran means that the request ran.
	Ran
)

var (
	// ErrConflict reports a compare-and-swap whose expected revision is not current.
	ErrConflict = errors.New("revision conflict")
	// ErrNotFound reports an absent key or record.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports a failed call that certainly had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown reports a failed call that may have had an effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrCompacted reports that the store does not have the changes since the given position any more.
	ErrCompacted = errors.New("history compacted")
	// ErrFenced reports an order that was refused because its fencing number is too old.
	ErrFenced = errors.New("fencing number too old")
)

// String returns the name of the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "Unknown"
	}
}

// PromisesNotRun reports whether callers take a status for the promise that the request has not run and never will, so that they send it
// again even if it must not run twice. The platform's protocol names these four.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MarshalText returns the name of the outcome.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Error is a refusal or failure that is reported to a caller.
type Error struct {
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is a hint for the caller; 0 means none.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the failure.
func (e *Error) Error() string { return string(e.Code) + " (" + e.Outcome.String() + "): " + e.Message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Code is a stable error code in answers to callers.
type Code string

const (
	// CodeBadRequest means that the request could not be parsed or has an invalid field.
	CodeBadRequest Code = "BadRequest"
	// CodeUnauthorized means that the key is missing or matches no team.
	CodeUnauthorized Code = "Unauthorized"
	// CodeUnknownModel means that the document has no such model or that the team may not use it.
	CodeUnknownModel Code = "UnknownModel"
	// CodeUnknownService means that the document has no such service or route.
	CodeUnknownService Code = "UnknownService"
	// CodeTooLarge means that a header or body exceeds its limit.
	CodeTooLarge Code = "TooLarge"
	// CodeDeadlineExceeded means that the caller's deadline passed.
	CodeDeadlineExceeded Code = "DeadlineExceeded"
	// CodeOverloaded means that the request was refused for lack of capacity.
	CodeOverloaded Code = "Overloaded"
	// CodeOverShare means that the team uses more than its share of the capacity while other teams wait.
	CodeOverShare Code = "OverShare"
	// CodeNoRoute means that no chain of servers covers all layers, or that no replica of the service is available.
	CodeNoRoute Code = "NoRoute"
	// CodeCrashesServers means that earlier requests with the same content crashed servers.
	CodeCrashesServers Code = "CrashesServers"
	// CodeKeyRequired means that a non-idempotent call lacks an Idempotency-Key.
	CodeKeyRequired Code = "KeyRequired"
	// CodeKeyReused means that an Idempotency-Key was used before with a different body.
	CodeKeyReused Code = "KeyReused"
	// CodeKeyExpired means that an Idempotency-Key is older than the retention.
	CodeKeyExpired Code = "KeyExpired"
	// CodeKeyTimeRequired means that an Idempotency-Key contains no time and the request states none.
	CodeKeyTimeRequired Code = "KeyTimeRequired"
	// CodeStoreUnavailable means that the store could not record the call's claim.
	CodeStoreUnavailable Code = "StoreUnavailable"
	// CodeOutcomeUnknown means that a non-idempotent call was sent and its answer was lost.
	CodeOutcomeUnknown Code = "OutcomeUnknown"
	// CodeServerLost means that a server was lost and no more retries are allowed.
	CodeServerLost Code = "ServerLost"
	// CodeCanceled means that the caller closed its connection.
	CodeCanceled Code = "Canceled"
	// CodeStopping means that the VM is shutting down and accepts no new requests.
	CodeStopping Code = "Stopping"
	// CodeInternal means a violated invariant or a fault of the router.
	CodeInternal Code = "Internal"
)
