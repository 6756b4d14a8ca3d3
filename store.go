package teaselstream

import (
	"context"
	"time"
)

type (
	// Record is a value in the store with its revision.
	Record struct {
		Value    []byte
		Revision Revision
	}

	// Store is the platform's key-value service.
	//
	// Errors wrap ErrConflict, ErrNotFound, ErrUnavailable (the call certainly had
	// no effect) or ErrOutcomeUnknown (the call may have had an effect).
	Store interface {
		Get(ctx context.Context, key string) (Record, error)
		// CompareAndSwap writes value if the key's revision equals expected; 0 means that the key is absent.
		CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		KeepAlive(ctx context.Context, lease LeaseID) error
		// Watch waits until the key's revision exceeds after, and returns ErrNotFound if the key stays absent.
		Watch(ctx context.Context, key string, after Revision) (Record, error)
	}

	// Entry is a key of the store with its value at one revision.
	Entry struct {
		Key      string
		Value    []byte
		Revision Revision
		// Deleted marks the removal of the key; Value is then empty.
		Deleted bool
		// Age is an upper bound of the time between the change and the reading of the entry; 0 means that it is unknown.
		Age time.Duration
	}

	// Freshness says how old the entries of a list may be.
	Freshness uint8

	// Directory is a store whose keys can be listed and watched by prefix.
	Directory interface {
		Store
		// Era returns the era of the store's last answer, or 0 before the first one.
		Era() Era
		// List returns all entries whose keys have a prefix, and the revision from which Follow returns later changes.
		List(ctx context.Context, prefix string, f Freshness) ([]Entry, Revision, error)
		// Follow waits for changes of keys with a prefix, and returns them with the revision for the next call.
		// Its error wraps ErrCompacted if the store has deleted the changes since after.
		Follow(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	}
)

const (
	// Current is the state at the time of the call.
	Current Freshness = iota
	// Stale is a state that may be seconds old, which costs the platform a tenth of a current one.
	Stale
)
