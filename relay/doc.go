// Package relay is the state machine of one model request in cmd/entry, where
// the router assembles the answer from the tokens of chains of engines; package
// flow, in cmd/gate, forwards the caller's HTTP request and passes the answer on.
//
// A relay opens attempts over chains of servers, checks the receipts and order
// of each token, replaces lost stages, and ends with the complete answer or an
// error that states whether the request ran.
package relay
