package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/teaselstream/teaselstream/cmd/bench/procs"
)

type procsCommand struct {
	Repeats int `long:"repeats" description:"run each repeat step this many times instead of the script's count"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"script files as in cmd/bench/procs/testdata/scripts"`
	} `positional-args:"true"`
}

var errScript = errors.New("a script gave unexpected results")

// Execute runs scripts and prints each step with its result.
func (c *procsCommand) Execute([]string) error {
	p, err := procs.Build()
	if err != nil {
		return err
	}
	defer p.Remove()
	for _, file := range c.Args.Files {
		if err := c.run(p, file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// run executes a script file of the procs tests and compares the results with those in the file.
func (c *procsCommand) run(p procs.Programs, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read script: %w", err)
	}
	_, body, _ := strings.Cut(string(data), "run\n")
	steps, want, ok := strings.Cut(body, "\n----\n")
	if !ok {
		return errors.New("malformed script; accepted: run, steps, ----, results")
	}
	f, err := procs.NewFleet(p)
	if err != nil {
		return err
	}
	s := procs.NewScript(f)
	s.Repeats = c.Repeats
	fmt.Println("==", filepath.Base(file))
	var got strings.Builder
	for _, l := range strings.Split(steps, "\n") {
		r := s.Run(l)
		fmt.Printf("%s: %s\n", l, r)
		got.WriteString(r + "\n")
	}
	wrong, err := s.Violations()
	fmt.Printf("at the end: %d wrong %q\n", len(wrong), wrong)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if len(wrong) > 0 || strings.TrimSpace(got.String()) != strings.TrimSpace(want) {
		return errScript
	}
	return nil
}
