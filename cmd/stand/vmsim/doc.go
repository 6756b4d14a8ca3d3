// Package vmsim simulates the platform's list of live and leaving machines,
// which shows changes with a delay.
package vmsim
