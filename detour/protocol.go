package detour

import (
	"errors"
	"fmt"
	"strings"
)

// The headers of a request to another VM. They begin with headerPrefix and are removed before the request goes to the server.
const (
	headerPrefix = "Detour-"
	// HeaderAddress is the address of the server.
	HeaderAddress = headerPrefix + "Address"
	// HeaderServer and HeaderIncarnation are the id and the incarnation of the server, or missing in calls of its control interface.
	HeaderServer      = headerPrefix + "Server"
	HeaderIncarnation = headerPrefix + "Incarnation"
	// HeaderConnection says which connections to the server may carry the request.
	HeaderConnection = headerPrefix + "Connection"
	// HeaderFrom is the name of the VM that took the request.
	HeaderFrom = headerPrefix + "From"
	// HeaderStream marks requests that are answered with a stream of events.
	HeaderStream = headerPrefix + "Stream"
	// HeaderResult is set in answers of the other VM itself; the server has not got the request.
	HeaderResult = headerPrefix + "Result"
)

// The values of HeaderResult.
const (
	// ResultRefused means that the VM takes no exchange now: it reaches no server either, stops, or has too many.
	ResultRefused = "Refused"
	// ResultNotSent means that the VM could not connect to the server.
	ResultNotSent = "NotSent"
	// ResultWithheld means that the server wants nothing now, or is not known to the VM as this one knows it.
	ResultWithheld = "Withheld"
)

var (
	// ErrNoVM means that no VM took the exchange, so that nothing was sent. It says nothing about the server.
	ErrNoVM = errors.New("no VM takes the exchange")
	// ErrNotSent means that another VM could not connect to the server, so that nothing was sent.
	ErrNotSent = errors.New("server not reached through another VM")
	// ErrWithheld means that another VM does not send to the server now, so that nothing was sent. It says nothing about the server.
	ErrWithheld = errors.New("another VM does not send to the server now")
)

// ResultError returns the error for a value of HeaderResult, or nil for an answer of the server.
func ResultError(result string) error {
	switch result {
	case "":
		return nil
	case ResultNotSent:
		return ErrNotSent
	case ResultWithheld:
		return ErrWithheld
	default:
		return fmt.Errorf("%w: %.20q", ErrNoVM, result)
	}
}

// IsHeader reports whether a header belongs to the protocol between VMs.
func IsHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }
