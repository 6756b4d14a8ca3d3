// Package memory bounds the bytes of messages that a process holds at the same time, so that one sender cannot take the memory of all.
package memory
