// Package node composes the state machines of the control plane of one VM of
// cmd/entry: it passes commands and messages between them and publishes the
// snapshot that request routing reads.
package node
