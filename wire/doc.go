// Package wire defines the messages between VMs, their CBOR encoding, and the
// handshake that authenticates both ends of a link with a shared secret.
package wire
