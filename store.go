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
	// Errors wrap ErrConflict, ErrNotFound, ErrUnavailable (no effect for
	// certain) or ErrOutcomeUnknown (the effect may have taken place).
	Store interface {
		Get(ctx context.Context, key string) (Record, error)
		// CompareAndSwap writes value if the key's revision is expected; 0 expects an absent key.
		CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		KeepAlive(ctx context.Context, lease LeaseID) error
		// Watch waits until the key's revision exceeds after, and returns ErrNotFound if it stays absent.
		Watch(ctx context.Context, key string, after Revision) (Record, error)
	}

	// Entry is one key of the store at one revision.
	Entry struct {
		Key      string
		Value    []byte
		Revision Revision
		// Deleted marks the removal of the key; Value is then empty.
		Deleted bool
		// Age is how long ago the change may have been made at most, when the entry is read; 0 means that it is not known.
		Age time.Duration
	}

	// Directory is a store whose keys can be listed and followed by prefix.
	Directory interface {
		Store
		// List returns all entries below a prefix, and the revision to follow them from.
		List(ctx context.Context, prefix string) ([]Entry, Revision, error)
		// Follow waits for changes below a prefix and returns the revision to continue from.
		// It wraps ErrCompacted if the changes since after are no longer kept.
		Follow(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	}
)
