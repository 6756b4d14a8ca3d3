// Package spread distributes configuration documents among the VMs of
// cmd/entry and keeps those in force on one VM; package share passes entries of
// the platform's key-value store among the VMs of cmd/gate.
//
// A few watchers per failure domain read the store. All other VMs learn
// generations from heartbeats and pull the documents that they lack from peers.
package spread
