// Package peer manages the WebSocket links between VMs.
//
// A link is opened when there is a message to send, authenticated by the
// handshake of package wire, and closed after an idle timeout. Messages to a
// VM that cannot be reached are dropped; the state machines send the important
// ones again.
package peer
