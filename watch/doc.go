// Package watch connects one VM to the platform's key-value store: Follower
// turns the entries of the configuration, the replicas and the VMs into messages
// for package fleet, and Registrar keeps the VM's own entry under a lease.
package watch
