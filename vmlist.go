package teaselstream

import "context"

type (
	// ListEntry is a machine in the platform's list.
	ListEntry struct {
		Name        string
		Kind        string
		Domain      DomainID
		Address     string
		State       string
		Incarnation Incarnation
	}

	// VMList reads the platform's list of live and leaving machines, which may be outdated.
	VMList interface {
		List(ctx context.Context) ([]ListEntry, error)
	}
)

const (
	// ListKindVM is the Kind of an entry VM; that of a backend server is its ServerKind.
	ListKindVM = "VM"
	// ListLive is the State of a machine that the platform considers live.
	ListLive = "Live"
	// ListLeaving is the State of a machine that the platform is about to stop.
	ListLeaving = "Leaving"
)
