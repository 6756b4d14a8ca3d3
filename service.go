package teaselstream

import "context"

type (
	// ServiceCall is a call to a plain service.
	ServiceCall struct {
		Request RequestID
		Method  string
		Path    string
		Header  [][2]string
		Body    []byte
		Key     string
		Fencing Fencing
	}

	// ServiceAnswer is the answer to a ServiceCall.
	ServiceAnswer struct {
		Status int
		Header [][2]string
		Body   []byte
	}

	// Service calls a replica of a plain service.
	//
	// An error wraps ErrUnavailable if no byte of the call was written, and
	// ErrOutcomeUnknown otherwise.
	Service interface {
		Call(ctx context.Context, address string, c ServiceCall) (ServiceAnswer, error)
	}
)
