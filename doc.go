// Package teaselstream declares the types that all packages of the router
// share: identifiers, units, the configuration of an environment, the snapshot
// of servers and VMs that requests are routed by, and the interfaces to
// outside systems.
//
// State machines in the other packages make the decisions. Each one is a
// [Core]: it takes the time and a message, and returns commands. A core does
// not read a clock, perform I/O or start a goroutine.
package teaselstream
