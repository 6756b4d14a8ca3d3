// Package outlog writes log lines without ever blocking the caller.
//
// Lines wait in a bounded queue; when it is full, further lines are dropped and
// counted, and a later line says how many.
package outlog
