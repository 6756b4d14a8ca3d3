// Package share lets the VMs of a failure domain follow the platform's store
// through a few of them, so that store calls do not grow with VMs.
//
// Directory stands in for the store's Directory. On a reader it asks the store
// and keeps the recent changes; on any other VM it asks a reader of its domain,
// and the store itself if no reader answers or none has reached the store lately.
package share
