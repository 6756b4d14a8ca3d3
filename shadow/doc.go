// Package shadow evaluates a sample of production requests against the
// document in trial, without sending anything, and counts how the decisions
// under both documents differ.
//
// [Core] decides and counts; [Sampler] samples requests and runs a Core on one
// goroutine of its own.
package shadow
