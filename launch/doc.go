// Package launch holds what the programs share at their start: exit codes,
// complaints and the version.
package launch
