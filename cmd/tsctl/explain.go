package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/trace"
)

// explainCommand shows what the logs of several VMs contain about a request.
type explainCommand struct {
	app     *app
	Request string `long:"request" value-name:"ID" description:"id of one request of a caller; without it the failed requests are listed with their causes"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of VMs"`
	} `positional-args:"yes"`
}

// failedRequest is one row of the list of failed requests.
type failedRequest struct {
	Request teaselstream.AttemptID
	VM      teaselstream.VMID
	Cause   string
}

// Execute prints the events of one request, or lists the failed requests.
func (c *explainCommand) Execute([]string) error {
	var log trace.Log
	for _, name := range c.Args.Files {
		if err := readLog(&log, name); err != nil {
			return invalid(err.Error(), "give the files with the standard output of the VMs")
		}
	}
	if c.Request != "" {
		return c.explainRequest(&log)
	}
	var out []failedRequest
	t := table{head: []string{"REQUEST", "VM", "CAUSE"}}
	for _, id := range log.FailedRequests() {
		if s, ok := log.Explanation(id); ok {
			out = append(out, failedRequest{id, s.VM, s.Cause})
			t.rows = append(t.rows, []string{string(id), string(s.VM), s.Cause})
		}
	}
	return c.app.print(out, t)
}

func readLog(log *trace.Log, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := log.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (c *explainCommand) explainRequest(log *trace.Log) error {
	s, ok := log.Explanation(teaselstream.AttemptID(c.Request))
	if !ok {
		return invalid("no line names request "+c.Request, "search the logs of all VMs; each retry by a caller has a new id")
	}
	t := table{head: []string{"TIME", "EVENT", "WHAT DECIDED"}}
	lines := append(slices.Clone(s.Beliefs), s.Lines...)
	slices.SortStableFunc(lines, func(a, b trace.Line) int { return a.Time.Compare(b.Time) })
	for _, x := range lines {
		t.rows = append(t.rows, []string{x.Time.Format(time.StampMicro), x.Event, formatFields(x)})
	}
	if err := c.app.print(s, t); err != nil {
		return err
	}
	if c.app.options.Output == "json" {
		return nil
	}
	if _, err := fmt.Fprintf(c.app.out, "cause: %s\n", s.Cause); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// formatFields formats the fields of a log line in the order of their names and omits empty ones.
func formatFields(x trace.Line) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(x.Fields)) {
		switch v := fmt.Sprint(x.Fields[name]); v {
		case "", "[]", "<nil>":
		default:
			out = append(out, name+"="+v)
		}
	}
	return strings.Join(out, " ")
}
