package main

import (
	"errors"
	"fmt"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
)

type (
	environmentOption struct {
		Environment string `short:"e" long:"environment" required:"true" description:"name of the environment"`
	}

	statusCommand struct {
		app *app
		environmentOption
		vmOptions
	}

	status struct {
		Environment teaselstream.Environment
		Production  *envdoc.Slot `json:",omitempty"`
		Trial       *envdoc.Slot `json:",omitempty"`
		VMs         []vmStatus   `json:",omitempty"`
	}

	historyCommand struct {
		app *app
		environmentOption
		Limit int `long:"limit" default:"20" description:"number of generations to show"`
	}

	completionCommand struct{ app *app }
)

// Execute prints both slots and the state of each VM given with --vm.
func (c *statusCommand) Execute([]string) error {
	env := teaselstream.Environment(c.Environment)
	s := status{Environment: env}
	t := table{head: slotHead}
	for _, x := range []struct {
		name, key string
		to        **envdoc.Slot
	}{{"production", envdoc.ProdKey(env), &s.Production}, {"trial", envdoc.TrialKey(env), &s.Trial}} {
		v, err := c.app.slot(x.key)
		if err != nil {
			return err
		}
		if v.Generation > 0 {
			*x.to = &v
		}
		t.rows = append(t.rows, slotRow(x.name, v))
	}
	var failed int
	for _, address := range c.VM {
		v := c.app.readVM(address, c.Key)
		if v.Error != "" {
			failed++
		}
		s.VMs = append(s.VMs, v)
	}
	if err := c.app.print(s, t); err != nil {
		return err
	}
	if len(s.VMs) > 0 && c.app.options.Output != "json" {
		if err := c.app.print(nil, vmStatusTable(s.VMs)); err != nil {
			return err
		}
	}
	return c.checkReachable(failed)
}

// Execute lists the generations that were promoted to production, the newest first.
func (c *historyCommand) Execute([]string) error {
	env := teaselstream.Environment(c.Environment)
	s, err := c.app.slot(envdoc.ProdKey(env))
	if err != nil {
		return err
	}
	store, err := c.app.store()
	if err != nil {
		return err
	}
	out := []envdoc.Slot{}
	t := table{head: slotHead}
	for g := s.Generation; g > 0 && len(out) < c.Limit; g-- {
		if g < s.Generation {
			r, err := store.Get(c.app.ctx, envdoc.HistoryKey(env, g))
			if errors.Is(err, teaselstream.ErrNotFound) {
				break
			}
			if err != nil {
				return storeUnreachable(err)
			}
			if s, err = envdoc.DecodeSlot(r.Value); err != nil {
				return err
			}
		}
		name := "replaced"
		if len(out) == 0 {
			name = "production"
		}
		out = append(out, s)
		t.rows = append(t.rows, slotRow(name, s))
	}
	return c.app.print(out, t)
}

// Execute prints a shell script that calls this program for completions.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.app.out, `_tsctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _tsctl tsctl
`)
	return err
}
