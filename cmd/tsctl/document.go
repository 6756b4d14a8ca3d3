package main

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
)

type (
	fileArgs struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document" required:"true"`
	}

	checkCommand struct {
		app  *app
		Args struct {
			Files []flags.Filename `positional-arg-name:"FILE" description:"document" required:"1"`
		} `positional-args:"true"`
	}

	checkResult struct {
		File        string
		Environment teaselstream.Environment
		Digest      teaselstream.Digest
		Models      int
		Teams       int
		Services    int
		Servers     int
	}

	diffCommand struct {
		app         *app
		Environment string `short:"e" long:"environment" description:"compare what is in trial with production"`
		Args        struct {
			Files []flags.Filename `positional-arg-name:"FILE" description:"document to compare with production, or two documents"`
		} `positional-args:"true"`
	}

	diffResult struct {
		From, To string
		Changes  []envdoc.Change
	}
)

// Execute checks the files and reports the errors of all of them.
func (c *checkCommand) Execute([]string) error {
	var out []checkResult
	var errs []string
	t := table{head: []string{"FILE", "ENVIRONMENT", "DIGEST", "MODELS", "TEAMS", "SERVICES", "SERVERS"}}
	for _, f := range c.Args.Files {
		d, err := c.app.read(string(f))
		if err != nil {
			errs = append(errs, err.Error())
			continue
		}
		r := checkResult{string(f), d.Environment, d.Digest, len(d.Models), len(d.Teams), len(d.Services), len(d.Servers)}
		out = append(out, r)
		t.rows = append(t.rows, []string{
			r.File, string(r.Environment), shortDigest(r.Digest),
			fmt.Sprint(r.Models), fmt.Sprint(r.Teams), fmt.Sprint(r.Services), fmt.Sprint(r.Servers),
		})
	}
	if len(errs) > 0 {
		return invalid(strings.Join(errs, "\n"), "correct the lines above and check again")
	}
	return c.app.print(out, t)
}

// Execute prints the differences, or that there are none.
func (c *diffCommand) Execute([]string) error {
	d, from, to, err := c.documents()
	if err != nil {
		return err
	}
	d.Changes = envdoc.Diff(from, to)
	if c.app.options.Output == "json" {
		return printJSON(c.app.out, d)
	}
	_, _ = fmt.Fprintf(c.app.out, "from %s to %s: %d changes\n", d.From, d.To, len(d.Changes))
	for _, x := range d.Changes {
		_, _ = fmt.Fprintln(c.app.out, x)
	}
	return nil
}

// documents returns the two canonical documents to compare.
func (c *diffCommand) documents() (d diffResult, from, to []byte, err error) {
	files := c.Args.Files
	if len(files) > 2 || (len(files) == 0) != (c.Environment != "") {
		return d, nil, nil, invalid("diff takes one or two files, or --environment", "run: tsctl diff FILE")
	}
	if len(files) == 0 {
		env := teaselstream.Environment(c.Environment)
		if d.To, to, err = c.app.slotDocument("trial", env, envdoc.TrialKey(env)); err != nil {
			return d, nil, nil, err
		}
		d.From, from, err = c.app.slotDocument("production", env, envdoc.ProdKey(env))
		return d, from, to, err
	}
	last, err := c.app.read(string(files[len(files)-1]))
	if err != nil {
		return d, nil, nil, err
	}
	d.To = string(files[len(files)-1])
	if len(files) == 2 {
		first, err := c.app.read(string(files[0]))
		d.From = string(files[0])
		return d, first.canonical, last.canonical, err
	}
	d.From, from, err = c.app.slotDocument("production", last.Environment, envdoc.ProdKey(last.Environment))
	return d, from, last.canonical, err
}

// slotDocument returns a description of a slot and the canonical document in it, which is empty if the slot is.
func (a *app) slotDocument(name string, env teaselstream.Environment, key string) (string, []byte, error) {
	s, err := a.slot(key)
	if err != nil || s.Generation == 0 {
		return name + " (none)", nil, err
	}
	b, err := a.body(env, s.Digest)
	return fmt.Sprintf("%s generation %d", name, s.Generation), b, err
}
