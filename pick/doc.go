// Package pick chooses the replica of a plain service for each call.
//
// Balancer weighs this VM's running calls, the load that replicas state in
// their answers, and the results of recent calls. Replicas that fail are put
// aside for a growing time and tried again with single calls.
package pick
