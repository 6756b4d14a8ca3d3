// Package serve runs model requests: it executes the commands of each
// request's relay state machine, calls the engines, and returns the tokens to
// package front.
//
// A session runs on the goroutine that serves the request, which reads one
// token after another; other goroutines communicate with it only through its
// mailbox.
package serve
