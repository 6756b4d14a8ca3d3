// Package front serves the callers' API and the operators' API over HTTP/1.1.
//
// A streamed answer is rendered on the goroutine of its connection: the HTTP
// server reads the response body from a reader that waits for the next token.
package front
