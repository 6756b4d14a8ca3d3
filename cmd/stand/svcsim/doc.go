// Package svcsim simulates a plain application service whose replicas share
// their data. It counts how often each order was executed.
package svcsim
