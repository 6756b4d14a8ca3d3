// Package pick scores the replicas of a plain service by load, latency and failures and ejects failing ones, for command gate.
//
// It only chooses: package flow decides on retries and package proxy sends the
// calls. Package call, which command tsentry runs, also sends and retries calls
// and balances by calls in flight.
//
// Balancer weighs this VM's calls in progress, the load that replicas report in
// their responses, and the results of recent calls. An ejected replica is
// avoided for a growing time and then probed with one call at a time.
package pick
