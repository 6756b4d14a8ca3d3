//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// runLimit ends a run that takes too long, with all processes that it has started.
	runLimit = 115 * time.Second
)

// cases holds what runs each case; it returns whether the rule was broken.
var cases = make(map[string]func(w *world, trouble bool) (bool, error))

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	program := flag.String("gate", "target/gate", "program of the VMs")
	template := flag.String("template", "deploy/gate.ini", "template of their settings")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	dir := flag.String("dir", "", "temporary folder")
	flag.Parse()
	os.Exit(run(*name, *trouble, *program, *template, *record, *dir))
}

func run(name string, trouble bool, program, template, record, dir string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.program, w.template = program, template
	time.AfterFunc(runLimit, func() {
		w.note("case not run: it takes longer than %s", runLimit)
		w.close()
		os.Exit(exitNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w, trouble)
	if err != nil {
		w.note("case not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
