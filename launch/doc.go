// Package launch holds the command-line code that the programs share: parsing,
// exit codes, error output and the version.
package launch
