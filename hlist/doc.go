// Package hlist is the HTTP client of the platform's list of machines.
package hlist
