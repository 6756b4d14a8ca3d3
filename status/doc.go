// Package status passes what one VM of a failure domain finds out about the
// domain's backend servers to its other VMs.
//
// Observer is the state machine that decides at which servers the observing VM
// looks and what the others are told. Service runs it, or asks the VM that
// does, over the VMs' own listener. What a VM concludes from a record is
// decided in package fleet.
package status
