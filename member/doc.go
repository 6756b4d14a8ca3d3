// Package member tracks, for cmd/entry, which VMs and backend servers are live,
// leaving or dead, and passes what each VM learns to the others by gossip;
// package fleet tracks servers for cmd/gate from the platform's store instead.
//
// The evidence comes from the platform's list, from the outcomes of this VM's
// own requests and polls, and from the heartbeats and notices of other VMs.
package member
