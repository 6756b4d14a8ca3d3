package teaselstream

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff returns the delay before a retry after the given number of failures in a row.
// It doubles from base up to limit and is spread over [1/2, 1] of that, so that
// clients that failed together do not retry together.
func Backoff(r Rand, base, limit time.Duration, failures int) time.Duration {
	d := limit
	if n := max(failures-1, 0); n < 30 && base<<n > 0 {
		d = min(base<<n, limit)
	}
	return d/2 + time.Duration(r.Float64()*float64(d/2))
}

// RendezvousOrder returns the names ordered by their rendezvous hash for a key, lowest first.
// A name that joins or leaves moves only the keys that it holds itself.
func RendezvousOrder[T ~string](key string, names []T) []T {
	type ranked struct {
		name T
		hash uint64
	}
	all := make([]ranked, len(names))
	for i, n := range names {
		// The length separates key and name, so that no two pairs share an input.
		all[i] = ranked{n, xxhash.Sum64String(strconv.Itoa(len(key)) + ":" + key + string(n))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	out := make([]T, len(all))
	for i, r := range all {
		out[i] = r.name
	}
	return out
}
