//go:build review

// Command rig3 runs the cases 11 to 15 of the third review: gate processes on loopback addresses, with stand-ins of the platform's store, of
// replicas and of clients.
package main
