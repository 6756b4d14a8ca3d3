// Package ctrl runs the control plane of one VM of cmd/entry: it runs package
// node's state machine on one goroutine, carries out its commands and holds
// the snapshot that it publishes.
package ctrl
