// Package notice keeps what servers say about themselves in their answers to this
// VM: that they leave, and for how long they take nothing from it. A server's own
// answer reaches a VM that cannot read the platform's list.
package notice
