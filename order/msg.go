package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// Submit asks to run a non-idempotent call at most once. Exactly one Reply answers it.
	Submit struct {
		// Request is unique among the calls of this VM.
		Request  teaselstream.RequestID
		Team     teaselstream.TeamID
		Service  teaselstream.ServiceSpec
		Call     teaselstream.ServiceCall
		Deadline time.Time
	}

	// Reply ends a Submit with an answer or, if Err is not nil, an error.
	Reply struct {
		Request teaselstream.RequestID
		Answer  teaselstream.ServiceAnswer
		Err     *teaselstream.Error
	}

	// View lists the live VMs, this one included, and states the retention of the document in force.
	View struct {
		Live []teaselstream.VMID
		// Leaving lists the live VMs that are shutting down. They finish the calls that they have accepted and take no
		// forwarded ones.
		Leaving   []teaselstream.VMID
		Retention time.Duration
	}

	// Read asks the shell to read a key of the store; StoreResult answers it.
	Read struct {
		ID  uint64
		Key string
	}

	// Write asks the shell for a compare-and-swap of a key in the store; StoreResult answers it.
	Write struct {
		ID       uint64
		Key      string
		Expected teaselstream.Revision
		Value    []byte
	}

	// StoreResult answers a Read or a Write; for a Write only the revision is set.
	StoreResult struct {
		ID     uint64
		Record teaselstream.Record
		Err    error
	}

	// Send asks the shell to send a claimed call to a replica; exactly one Answered answers it.
	//
	// The shell must check the clock just before it writes. Once Until has passed, it must not write, and answers with
	// ErrUnavailable.
	Send struct {
		// Request is that of the Submit of the first caller that waits.
		Request teaselstream.RequestID
		Key     Key
		Claim   teaselstream.Fencing
		Try     int
		Until   time.Time
		// Avoid lists the replicas to which earlier sends of the call wrote nothing.
		Avoid   []teaselstream.ServerID
		Service teaselstream.ServiceSpec
		Call    teaselstream.ServiceCall
	}

	// Answered is the result of a Send; an error that wraps ErrUnavailable certifies that no byte was written.
	Answered struct {
		Key   Key
		Claim teaselstream.Fencing
		Try   int
		// Server is the replica that was tried, if any.
		Server teaselstream.ServerID
		Answer teaselstream.ServiceAnswer
		Err    error
	}

	// LookUp asks the shell to query the service for the status of a call; LookedUp answers it.
	LookUp struct {
		ID      uint64
		Service teaselstream.ServiceSpec
		// Call is a GET. If its Fencing is not 0, the service must refuse older claims of the key from now on.
		Call teaselstream.ServiceCall
	}

	// LookedUp reports whether the service knows the call; Found has no meaning if Err is set.
	LookedUp struct {
		ID    uint64
		Found bool
		Err   error
	}

	// Forward asks the shell to pass a call to another VM. ForwardAnswered or ForwardFailed follows, or nothing if a
	// message is lost.
	Forward struct {
		To   teaselstream.VMID
		Call PeerCall
	}

	// ForwardFailed reports that a Forward was certainly not sent.
	ForwardFailed struct{ ID uint64 }

	// ForwardReceived is another VM's Forward; Known is false if the document in force does not list the service.
	ForwardReceived struct {
		Call    PeerCall
		Service teaselstream.ServiceSpec
		Known   bool
	}

	// AnswerForward asks the shell to pass an answer to the VM that forwarded a call.
	AnswerForward struct {
		To     teaselstream.VMID
		Answer PeerAnswer
	}

	// ForwardAnswered is another VM's answer to a Forward.
	ForwardAnswered struct {
		From   teaselstream.VMID
		Answer PeerAnswer
	}

	// PeerCall is a call that is forwarded to the shard's preferred VM.
	PeerCall struct {
		ID          uint64
		From        teaselstream.VMID
		Incarnation teaselstream.Incarnation
		Request     teaselstream.RequestID
		Team        teaselstream.TeamID
		Service     teaselstream.ServiceID
		Method      string
		Path        string
		Header      [][2]string
		Body        []byte
		Key         string
		// Again marks a query whether an accepted call is still in progress; it does not start the call.
		Again bool
		// Began is the time of submission. Began and Deadline are in milliseconds since 1970.
		Began    int64
		Deadline int64
	}

	// PeerAnswer answers a PeerCall: Accepted first, then Final or Failed. Refused or Gone ends the exchange instead.
	PeerAnswer struct {
		ID          uint64
		Incarnation teaselstream.Incarnation
		Kind        AnswerKind
		Status      int
		Header      [][2]string
		Body        []byte
		Code        teaselstream.Code
		Outcome     teaselstream.Outcome
		Message     string
		RetryAfter  teaselstream.Millis
	}

	// AnswerKind is the kind of a PeerAnswer.
	AnswerKind uint8
)

const (
	// Accepted means that the peer works on the call.
	Accepted AnswerKind = iota + 1
	// Refused means that the peer did not take the call and never will.
	Refused
	// Final carries the service's answer.
	Final
	// Failed carries an error.
	Failed
	// Gone answers a query about a call that the peer does not work on any more, or lost in a restart.
	Gone
)
