package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/shadow"
)

type (
	// vmOptions holds the addresses of VMs and the key for their operator interface.
	vmOptions struct {
		VM  []string `long:"vm" value-name:"IP:PORT" description:"operators' address of a VM; may be repeated"`
		Key string   `long:"key" env:"TSCTL_KEY" description:"operators' key of the VMs"`
	}

	trialCommand struct {
		app *app
		vmOptions
	}

	// trialReport is a VM's report on its document in trial.
	trialReport struct {
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		InTrial    bool
		Counts     shadow.Counts
	}

	// trialTotal adds up the counts of the VMs that have the same document in trial.
	trialTotal struct {
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		VMs        int
		shadow.Counts
	}

	// trialResult is the output of the command; VMs may have different documents in trial for a short time after a try.
	trialResult struct {
		Trials []trialTotal
		// NotInTrial lists VMs without a document in trial.
		NotInTrial []string `json:",omitempty"`
		// Unreachable maps the addresses of VMs that did not answer to the reason.
		Unreachable map[string]string `json:",omitempty"`
	}
)

// Execute adds up how decisions under the document in trial differ from those under the one in production.
func (c *trialCommand) Execute([]string) error {
	if len(c.VM) == 0 {
		return &failure{exitInvalid, "InvalidInput", "no VM address is given", "give the operators' address of each VM with --vm IP:PORT"}
	}
	r := trialResult{Trials: []trialTotal{}, Unreachable: map[string]string{}}
	for _, address := range c.VM {
		var t trialReport
		switch err := c.app.readOperator(address, "/operator/trial", c.Key, &t); {
		case err != nil:
			r.Unreachable[address] = err.Error()
		case !t.InTrial:
			r.NotInTrial = append(r.NotInTrial, address)
		default:
			r.add(t)
		}
	}
	slices.SortFunc(r.Trials, func(a, b trialTotal) int { return cmp.Compare(b.Generation, a.Generation) })
	if err := c.app.print(r, r.table()); err != nil {
		return err
	}
	return c.checkReachable(len(r.Unreachable))
}

// checkReachable returns a failure if some VMs did not answer, and nil if all did.
func (o *vmOptions) checkReachable(failed int) error {
	if failed == 0 {
		return nil
	}
	return &failure{exitUnreachable, "VMUnreachable", fmt.Sprintf("%d of %d VMs did not answer", failed, len(o.VM)),
		"check --vm and --key; the platform replaces VMs, so read their current addresses from its list"}
}

func (r *trialResult) add(t trialReport) {
	i := slices.IndexFunc(r.Trials, func(s trialTotal) bool { return s.Digest == t.Digest })
	if i < 0 {
		i = len(r.Trials)
		r.Trials = append(r.Trials, trialTotal{Generation: t.Generation, Digest: t.Digest})
	}
	r.Trials[i].VMs++
	r.Trials[i].Add(t.Counts)
}

// table returns one row for each kind of difference.
func (r *trialResult) table() table {
	t := table{head: []string{"GENERATION", "DIGEST", "DIFFERENCE", "REQUESTS"}}
	for _, s := range r.Trials {
		row := func(name string, n any) {
			t.rows = append(t.rows, []string{fmt.Sprint(s.Generation), shortDigest(s.Digest), name, fmt.Sprint(n)})
		}
		row("evaluated", s.Evaluated)
		row("admitted by both", s.AdmittedByBoth)
		row("refused by both", s.RefusedByBoth)
		for _, code := range slices.Sorted(maps.Keys(s.RefusedByTrialOnly)) {
			row("refused by trial only: "+string(code), s.RefusedByTrialOnly[code])
		}
		for _, code := range slices.Sorted(maps.Keys(s.RefusedByProductionOnly)) {
			row("refused by production only: "+string(code), s.RefusedByProductionOnly[code])
		}
		row("other route"+firstToken(s.Counts), s.ChangedRoutes)
		row("other priority", s.ChangedPriority)
		row("other worth", s.ChangedWorth)
		row("other idempotency", s.ChangedIdempotency)
		row("dropped samples", s.Dropped)
		row("VMs in the sum", s.VMs)
	}
	for _, address := range r.NotInTrial {
		t.rows = append(t.rows, []string{"none", "", address + " holds no document in trial"})
	}
	for _, address := range slices.Sorted(maps.Keys(r.Unreachable)) {
		t.rows = append(t.rows, []string{"unknown", "", address + " is unreachable: " + r.Unreachable[address]})
	}
	return t
}

// firstToken formats the mean estimated time to the first token before and after, for requests with a changed route.
func firstToken(c shadow.Counts) string {
	if c.ChangedRoutes == 0 {
		return ""
	}
	before, after := c.MeanFirstToken()
	return fmt.Sprintf(", first token %v to %v", before.Round(10*time.Microsecond), after.Round(10*time.Microsecond))
}
