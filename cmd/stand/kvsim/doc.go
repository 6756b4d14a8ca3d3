// Package kvsim simulates the platform's key-value store: records with
// revisions, compare-and-swap, leases and long-poll watches, with injected
// outages.
package kvsim
