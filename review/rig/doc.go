//go:build review

// Package rig runs gates as separate processes, with the commands and the settings template of the deploy file, beside small stand-ins
// of the platform: a store, model and plain replicas, and callers. The scripts of the review's cases use it.
package rig
