// Package quota keeps to the limits of requests a second that backend servers
// name in their answers, for the router in cmd/gate. A limit holds for all VMs
// together; package admit limits the requests of teams instead.
//
// Tracker collects the limits that this VM and, by their reports in the store,
// the others have heard of, and divides each among few VMs, so that the VMs
// together exceed it by few requests even in a fleet whose VMs could each send
// less than one request a second. Limits holds this VM's part for the request
// handlers.
package quota
