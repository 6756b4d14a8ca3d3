// Package flow is the state machine that forwards one HTTP request of a caller,
// with its answer passed on as received, for cmd/gate; package relay instead
// generates an answer token by token over the engine protocol, for cmd/entry.
//
// Stream handles a model request, whose answer is a series of numbered events:
// it opens attempts, moves them to another path, retries them and ends the
// answer. Call handles a request to a plain service. Package proxy carries out
// the commands of both.
package flow
