// Package hengin is a client for model engines that use HTTP/1.1, JSON and
// server-sent events.
//
// A stream reads its connection on the goroutine that calls Next, so that an
// open stream needs no goroutine of its own, and it decodes tokens without an
// allocation per token.
package hengin
