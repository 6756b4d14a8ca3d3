// Package crash finds what the requests that crash backend servers have in
// common, and names it so that further ones are refused, for the router in
// cmd/gate; package blame does so for cmd/entry with whole requests only.
//
// Each VM reports which of its requests were on a server without an answer when
// the server ended. Tracker combines the reports of all VMs, which the store
// passes on: traits, such as segments of the prompt, that were together on
// several servers at their end, and that no server has answered since, become a
// Signature. Requests with all traits of a signature are refused everywhere, but
// for a few that are sent on trial later.
package crash
