// Package share reduces the load on the platform's key-value store, for the
// router in cmd/gate: a few reader VMs of each failure domain follow the store,
// and the other VMs ask them. Unlike package spread, which cmd/entry uses, it
// passes on changed entries of the store and not configuration documents.
//
// Directory wraps the store's Directory. On a reader it asks the store and keeps
// the recent changes. On any other VM it asks the readers of its failure domain,
// and the store if no reader answers or none has reached the store recently.
package share
