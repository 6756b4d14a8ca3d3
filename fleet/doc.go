// Package fleet keeps what one VM believes about the backend servers and the
// configuration of its platform.
//
// Core combines the platform's list, the servers' own reports and the results
// of their use, and publishes an immutable View for traffic. Traffic never
// waits for it.
package fleet
