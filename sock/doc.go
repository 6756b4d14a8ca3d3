// Package sock checks the state of TCP connections without consuming data, tells orderly ends from resets, and closes or resets connections.
package sock
