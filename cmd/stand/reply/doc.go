// Package reply provides the HTTP helpers of the simulators: JSON bodies,
// connections that are closed on purpose, and faults that tests set over HTTP.
package reply
