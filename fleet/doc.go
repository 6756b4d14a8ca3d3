// Package fleet tracks, for the router in cmd/gate, the backend servers, VMs
// and configuration that the platform's key-value store lists; unlike package
// member, which cmd/entry uses, it exchanges no health reports between VMs.
//
// Core combines the store's entries, the servers' own load reports and the
// outcomes of requests, and publishes an immutable View. Request handlers use
// the latest View and never wait for Core.
package fleet
