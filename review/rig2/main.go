//go:build review

// Command rig2 runs the scripts of the second review: it starts gates as separate processes with the command of the deploy file,
// plays their callers, backend servers and store on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its script, which returns whether the rule was broken.
var cases = map[string]func(*bench) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER TROUBLE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

// run plays a case, with its disruption or without, and writes its record into a folder.
func run(name, folder string, trouble bool) int {
	b, err := newBench(folder, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	broken, err := cases[name](b)
	if stopErr := b.close(); err == nil {
		err = stopErr
	}
	code := exitHeld
	switch {
	case err != nil:
		b.record("not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	b.record("exit %d", code)
	return code
}
