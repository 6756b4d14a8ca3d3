// Package call sends calls to plain services for cmd/entry, with retries of
// idempotent calls and with claims of package order for all others.
//
// A call goes to the replica with the fewest calls in flight relative to its
// weight. Package pick, which cmd/gate uses, only chooses replicas.
package call
