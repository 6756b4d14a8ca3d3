// Package config reads the settings of a VM's process from an INI file.
// [LoadEntry] reads those of cmd/entry, and [LoadGate] those of cmd/gate. Both
// report every error at once, with file, line, key and accepted values.
package config
