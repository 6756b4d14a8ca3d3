// Package health detects dead, slow and wrong backend servers from the results
// of their calls.
//
// Monitor finds dead servers by failed calls and probes, slow ones by the token
// times of the chains that they serve, and wrong ones by their answers to
// canary prompts. Slow and wrong servers are put on probation, and return to
// full traffic through slow start.
package health
