// Command tsbench measures the router's policies and processes on this machine.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type measureCommand struct {
	Output string   `long:"output" choice:"text" choice:"json" default:"text" description:"format of the table"`
	Area   []string `long:"area" description:"measure this area only; may be repeated"`
	// Previous and Record are files in the form that --output json prints.
	Previous string `long:"previous" value-name:"FILE" description:"fill the column PREVIOUS from the JSON of an earlier run"`
	Record   string `long:"record" value-name:"FILE" description:"also write the rows to this file as JSON"`
}

// Execute measures the selected areas and prints one table.
func (c *measureCommand) Execute([]string) error {
	rows, err := runAreas(c.Area)
	if err != nil {
		return err
	}
	if err := recordRows(c.Previous, c.Record, rows); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(os.Stdout, rows)
	}
	return printRows(os.Stdout, rows)
}

func main() {
	p := flags.NewNamedParser("tsbench", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(p); err != nil {
		fmt.Fprintln(os.Stderr, "tsbench:", err)
		os.Exit(2)
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "tsbench:", err)
		os.Exit(1)
	}
}

func addCommands(p *flags.Parser) error {
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"measure", "Print measured figures", "Prints a table of figures with their targets and baselines.", &measureCommand{}},
		{"plot", "Plot recorded figures", "Makes SVG plots from the JSON of a recorded measurement.", &plotCommand{}},
		{"soak", "Make randomised runs", "Makes randomised runs of the cores and prints violations with their seed and trace.", &soakCommand{}},
		{"mutants", "Verify that injected faults are caught", "Injects each fault and prints the invariant that must catch it and the number of runs until it did.", &mutantsCommand{}},
		{"procs", "Run scripts on real processes", "Runs failure scripts against real processes on loopback.", &procsCommand{}},
		{"demo", "Act as callers of the demonstration", "Sends requests and prints one line for each caller.", &demoCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return fmt.Errorf("add command: %w", err)
		}
	}
	return nil
}
