// Command faults runs VMs as processes before stand-ins of the platform, injects faults from outside them, and checks
// from what callers and replicas see that the promises of teaselstream hold.
//
// Each run is drawn from a seed. Faults come in series and overlap: forwarders delay, hold, reset or cut one way the
// connections to the store and to replicas; VMs are paused, killed, stopped and started again by signals; replicas
// crash, fall silent and leave; the store is down or forgets its history; configurations change.
package main
