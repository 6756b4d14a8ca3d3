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

	// Position is a place in the history of the store. A store that has come back from an older copy gives revisions out again, so
	// that those of different eras cannot be compared.
	Position struct {
		Era      Era
		Revision Revision
	}

	// Entry is a key of the store with its value at one place in the store's history.
	Entry struct {
		Key   string
		Value []byte
		// At is the place of the change.
		At Position
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
		// List returns all entries whose keys have a prefix, and the position from which Follow returns later changes.
		// Its error wraps ErrCompacted if the store came back from an older copy meanwhile.
		List(ctx context.Context, prefix string, f Freshness) ([]Entry, Position, error)
		// Follow waits for changes of keys with a prefix, and returns them with the position for the next call. The position may be
		// of a later era; the entries are then all differences, those that the store has lost included.
		// Its error wraps ErrCompacted if the store does not have the changes since after, because it has deleted them or has come
		// back from an older copy.
		Follow(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Entry, Position, error)
	}
)

// Before reports whether p is an earlier place than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

const (
	// Current is the state at the time of the call.
	Current Freshness = iota
	// Stale is a state that may be seconds old, which costs the platform a tenth of a current one.
	Stale
)
