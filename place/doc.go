// Package place decides, for cmd/entry, which layers and version of a model
// each backend server holds, through one elected decider per model and failure
// domain; package cover decides it for cmd/gate without leases.
//
// A decider is elected by a lease in the store. The desired state of a model is
// one record that the deciders of all failure domains change by
// compare-and-swap, so that no two of them unload the last two copies of a
// layer range at the same time.
package place
