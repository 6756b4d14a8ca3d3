// Package trace tells one request's story from the log lines of several VMs.
//
// It reads the lines that package proxy and the control side of a VM write,
// picks those about the request, adds what the VM believed of its servers,
// the store and the configuration shortly before, and names the cause of the
// request's end.
package trace
