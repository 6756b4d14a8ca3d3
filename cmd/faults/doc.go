// Command faults runs VMs as real processes against simulators of the platform, injects faults from outside, and checks
// the guarantees of teaselstream from what callers and replicas observe.
//
// A seed determines the faults of each run, which follow each other and overlap: forwarders delay, hold or reset the
// connections to the store and to replicas, or hold one direction; signals pause, kill and stop VMs, which then start
// again; replicas crash, fall silent and leave; the store is down or loses its history; configurations change.
//
// To try an upgrade, part of the VMs run another build, and in the middle of the faults all VMs are replaced one after the other by the
// other one of the two builds. All checks hold meanwhile.
//
// Two phases follow in which nothing else is disturbed: replicas fall silent for about a second and go on, together or some while others
// still are, which must neither end a request early nor run more than three on more replicas than the MaxAttempts of their route; and
// some VMs are partitioned from all replicas, while callers, the store and other VMs reach them, which must not make their callers be
// served far worse.
package main
