// Package share passes changed entries of the platform's key-value store from a
// few reader VMs of a failure domain to its other VMs, for the router in
// cmd/gate; package spread distributes configuration documents for cmd/entry.
// It keeps the number of store calls independent of the number of VMs.
//
// Directory wraps the store's Directory. On a reader it asks the store and keeps
// the recent changes. On any other VM it asks the readers of its failure domain,
// and the store if no reader answers or none has reached the store recently. A
// reader that does not know all changes since a VM's position, because its log
// does not reach back or the store has come back from an older copy since, sends
// all entries, and the VM finds the differences.
package share
