package teaselstream

import "fmt"

type (
	// RequestID identifies one caller's request and is unique per VM and request.
	RequestID string

	// VMID names an entry VM.
	VMID string

	// ServerID names a backend server.
	ServerID string

	// DomainID names a failure domain.
	DomainID string

	// RegionID names a region, which holds one or more failure domains.
	RegionID string

	// TeamID names a team.
	TeamID string

	// ModelID names a model.
	ModelID string

	// ServiceID names a plain service.
	ServiceID string

	// Environment names an environment, such as production, which has one document in force.
	Environment string

	// Accelerator names a kind of accelerator.
	Accelerator string

	// Incarnation numbers the runs of a process; each restart gives a higher number.
	Incarnation uint64

	// Attempt counts the attempts of one request, starting at 1.
	Attempt uint32

	// Sequence numbers the frames of one attempt or link, starting at 1.
	Sequence uint64

	// TokenIndex is the position of a token in an answer, starting at 0.
	TokenIndex int

	// StageIndex is the position of a stage in a chain, starting at 0.
	StageIndex int

	// Generation numbers the documents in one slot of an environment, such as production or trial, starting at 1.
	Generation uint64

	// Fencing is a fencing token: a number that grows with each new holder of a lease.
	Fencing uint64

	// Era counts how often the store has come back from an older copy, after which it gives revisions out again; 0 means that the store
	// does not say.
	Era uint64

	// Revision is the store's version of a key; 0 means that the key is absent.
	Revision uint64

	// SegmentID identifies a part of a prompt that several requests may share.
	SegmentID string

	// LeaseID identifies a lease in the store; 0 means none.
	LeaseID uint64

	// Digest is the lowercase hexadecimal SHA-256 of a canonical encoding.
	Digest string

	// Layer is the position of a model layer, starting at 0.
	Layer int

	// LayerRange is the half-open range [From, To) of layers.
	LayerRange struct {
		From Layer
		To   Layer
	}
)

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return int(r.To - r.From) }

// Contains reports whether layer l lies in the range.
func (r LayerRange) Contains(l Layer) bool { return r.From <= l && l < r.To }

// String returns the range as "From-To".
func (r LayerRange) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// Empty reports whether the range has no layers.
func (r LayerRange) Empty() bool { return r.To <= r.From }

// Within reports whether all layers of the range lie in s.
func (r LayerRange) Within(s LayerRange) bool { return s.From <= r.From && r.To <= s.To }
