// Package hstore is the HTTP client of the platform's key-value store.
package hstore
