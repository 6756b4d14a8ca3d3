// Package shadow evaluates a sample of production requests under the document
// in trial, without sending them to any server, and counts how the decisions
// differ from those under the production document.
//
// [Core] decides and counts; [Sampler] takes samples of requests and runs a
// Core on a goroutine of its own.
package shadow
