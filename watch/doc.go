// Package watch follows what lasts in the platform's store: the configuration,
// the list of replicas and the list of VMs, and keeps this VM's own entry there.
package watch
