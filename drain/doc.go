// Package drain is the state machine of the graceful shutdown of one VM: it
// fails readiness, waits for work in flight, records orders and exits.
package drain
