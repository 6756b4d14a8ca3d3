package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Event is the name of an event inside the router that is counted.
type Event string

const (
	// StageLost counts stages of running streams that failed.
	StageLost Event = "StageLost"
	// Retry counts attempts after the first.
	Retry Event = "Retry"
	// StaleFrame counts frames of older attempts or other requests that were dropped.
	StaleFrame Event = "StaleFrame"
	// PeerFrameRejected counts malformed or unauthenticated frames from peers.
	PeerFrameRejected Event = "PeerFrameRejected"
	// InvariantViolated counts violated invariants.
	InvariantViolated Event = "InvariantViolated"
	// Preempted counts streams that were suspended in favor of a higher priority.
	Preempted Event = "Preempted"
	// OrderUnknown counts non-idempotent calls whose outcome is unknown.
	OrderUnknown Event = "OrderUnknown"
	// StoreFailed counts calls to the store that failed.
	StoreFailed Event = "StoreFailed"
	// MoveWaits counts waits of streams that leave a lost server after more urgent ones.
	MoveWaits Event = "MoveWaits"
	// QueueDecision counts requests that the queue held, refused or sent ahead of others.
	QueueDecision Event = "QueueDecision"
	// RefusedInQueue counts requests that the queue refused.
	RefusedInQueue Event = "RefusedInQueue"
	// LeftSlow counts streams that were moved off a slow server.
	LeftSlow Event = "LeftSlow"
	// VMPutAside counts how often a VM that does not carry exchanges for this one was put aside.
	VMPutAside Event = "VMPutAside"
)

// Count adds n to an event's counter.
func (m *Meter) Count(e Event, n int64) {
	if m == nil {
		return
	}
	m.events.Add(context.Background(), n, metric.WithAttributes(attribute.String("event", string(e))))
}
