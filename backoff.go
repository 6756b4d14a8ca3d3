package teaselstream

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff returns the delay before a retry after the given number of failures in a row.
// The upper bound doubles from base to limit; the delay is random between half of it and all of it,
// so that clients that failed at the same time do not retry at the same time.
func Backoff(r Rand, base, limit time.Duration, failures int) time.Duration {
	d := limit
	if n := max(failures-1, 0); n < 30 && base<<n > 0 {
		d = min(base<<n, limit)
	}
	return d/2 + time.Duration(r.Float64()*float64(d/2))
}

// RendezvousOrder returns the names ordered by their rendezvous hash for a key, lowest first.
// Adding or removing a name moves only the keys for which that name comes first.
func RendezvousOrder[T ~string](key string, names []T) []T {
	type ranked struct {
		name T
		hash uint64
	}
	all := make([]ranked, len(names))
	for i, n := range names {
		// The length of the key makes the input unique for each pair of key and name.
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
