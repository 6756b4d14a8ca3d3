// Package vtime provides a virtual clock with an event queue, for golden and
// randomised tests of the state machines.
package vtime
