// Package order makes non-idempotent calls to plain services run at most
// once. Its core, Log, lets a call be sent only after a claim for its key is
// durable in a sharded log in the platform's store, so that at most one VM ever
// sends it.
package order
