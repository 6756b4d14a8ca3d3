// Package sock checks the state of TCP connections without consuming data, and closes or resets them.
package sock
