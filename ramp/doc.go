// Package ramp finds how much work a backend server gets that has just started,
// recovered or taken over layers, from how the server answers.
//
// Tracker keeps a share in (0, 1] of the server's normal capacity. The share
// grows with answers on time, shrinks with late answers, refusals and reports of
// a slow or full server, and is forgotten once it is 1. Each VM sees few answers
// of one server, so the VMs of a failure domain pass their counts to one of them,
// which sums them and returns the share that it finds.
//
// A share changes only which server is preferred. It never rules a server out,
// since the server may be the only one that holds a range of layers.
package ramp
