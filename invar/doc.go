// Package invar checks the router's invariants in the code that could violate
// them, and records the violations.
package invar
