// Package procs runs test scripts against real processes on loopback: simulators
// of the platform, entry VMs and operator commands. Scripts kill and suspend
// processes and cut network connections. Only tests and tsbench import it.
package procs
