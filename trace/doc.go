// Package trace explains from the log lines of several VMs why a request ended
// as it did; "tsctl explain" uses it.
//
// It reads the lines that package proxy and the control plane of a VM write and
// selects those about the request. It adds the VM's lines, from shortly before
// the request until its end, about the servers of the request, the store and the
// configuration, and derives the cause of the request's end.
package trace
