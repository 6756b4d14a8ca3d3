// Package runs simulates the control state machines of several VMs under a
// virtual clock, with fakes of the external systems and injected faults. Golden
// tests, randomised tests, mutation tests and measurements use it.
package runs
