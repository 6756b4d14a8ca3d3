// Package fleet runs several cores of package order under a virtual clock, against fakes of the store, the service and
// the links between VMs, and injects faults. Tests, fault-detection runs and benchmarks share it; the router does not
// import it.
package fleet
