// Package outlog writes log lines without ever blocking the caller.
//
// Lines wait in a bounded queue. While the queue is full, further lines are
// dropped and counted, and the event LogLinesDropped reports their number.
package outlog
