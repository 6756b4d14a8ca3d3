// Package flow decides what happens to one forwarded request: where it is
// sent, when it is moved, sent again or given up, and what the caller is told.
//
// Stream is the core of a model request, whose answer is a series of numbered
// events. The shell in package proxy carries out its commands.
package flow
