// Package moves decides when running streams leave a server that was lost or has
// turned slow.
//
// The other holders of a lost server's layers read all tokens of each stream that
// moves to them, in the order in which the moves arrive. Each VM has one
// Scheduler. It places its own streams in an order that all VMs of a failure
// domain derive alike, without a message per stream, from the tokens that the
// domain ran there by rank.
package moves
