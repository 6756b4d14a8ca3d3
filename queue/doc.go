// Package queue decides for each request of a VM that has not been sent to a
// server yet whether to send it now, to hold it or to refuse it, for the router
// in cmd/gate. Package admit divides a fixed number of slots in cmd/entry
// instead; here the room is that of servers that all VMs share.
//
// Queue orders requests by rank, by whether their first event can still be on
// time, and by size, and puts teams over their share behind the others of their
// rank. A service with one rank, no team over its share and room at its servers
// gets every request at once.
package queue
