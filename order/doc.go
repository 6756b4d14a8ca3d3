// Package order makes non-idempotent calls to plain services run at most
// once. Its core, Log, lets a call be sent only after a claim for its key is
// durable in a sharded log in the platform's store, so that at most one VM ever
// sends it.
//
// Each shard is one log of claims. Its head, a single key of the store, holds
// the newest records; when it grows too large, they are moved to an immutable
// segment under a key of its own. A Summary lists the keys of several segments.
// A VM builds an index in memory, from these values, of each shard that it uses.
//
// Log does no input or output. Its shell, in package call, passes it messages
// and carries out the commands that Log.Update returns.
package order
