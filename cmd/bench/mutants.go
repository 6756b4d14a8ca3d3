package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/order/fleet"
	"github.com/teaselstream/teaselstream/runs"
)

type (
	mutantsCommand struct {
		Seed  uint64 `long:"seed" default:"1" description:"first seed, at least 1"`
		Limit int    `long:"limit" default:"500" description:"number of runs in which each fault must be caught"`
	}

	// mutant is a fault to inject, with the invariant that must detect it.
	mutant struct {
		name      string
		fault     invar.Faults
		invariant invar.Name
		// find returns the number of runs until the invariant was violated, or 0 if it never was.
		find func(m mutant, seed uint64, limit int) (int, error)
	}
)

var (
	mutants = []mutant{
		{"SkipClaim", invar.SkipClaim, invar.AtMostOnce, findOrder},
		{"IgnoreAttempt", invar.IgnoreAttempt, invar.AnswerOwnership, findRelay},
		{"InvertGeneration", invar.InvertGeneration, invar.GenerationMonotonic, findControl},
		{"IgnoreLeaving", invar.IgnoreLeaving, invar.NoNewWorkToLeaving, findControl},
		{"SkipReceipts", invar.SkipReceipts, invar.LayerCoverage, findRelay},
		{"CutDrain", invar.CutDrain, invar.GracefulStop, findControl},
		{"ClaimNotRun", invar.ClaimNotRun, invar.NotRunIsTrue, findOrder},
	}

	errNotCaught = errors.New("an injected fault was not caught")
)

// Execute injects each fault in turn.
func (c *mutantsCommand) Execute([]string) error {
	if c.Seed == 0 || c.Limit < 1 {
		return errors.New("invalid --seed or --limit; accepted: 1 and above")
	}
	// Violations are the expected result here, and each of them logs an error.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	return runMutants(os.Stdout, c.Seed, c.Limit)
}

func runMutants(w io.Writer, seed uint64, limit int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "FAULT\tINVARIANT\tRUNS\tLIMIT\tRESULT")
	var failed error
	for _, m := range mutants {
		n, err := m.find(m, seed, limit)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		result := "caught"
		if n == 0 {
			n, result, failed = limit, "NOT CAUGHT", errNotCaught
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", m.name, m.invariant, n, limit, result)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return failed
}

func findOrder(m mutant, seed uint64, limit int) (int, error) {
	for n := range limit {
		for _, v := range fleet.Run(rand.New(rand.NewPCG(seed+uint64(n), 0)), m.fault).Violations {
			if v.Invariant == m.invariant {
				return n + 1, nil
			}
		}
	}
	return 0, nil
}

func findControl(m mutant, seed uint64, limit int) (int, error) {
	n, _ := runs.DetectFault(m.fault, seed, limit)
	return n, nil
}

// findRelay returns the smallest number of sessions in which the test of package relay catches the fault. The sessions of
// a seed are always the same, so a larger number of sessions includes a smaller one, which allows a binary search.
func findRelay(m mutant, seed uint64, limit int) (int, error) {
	b, err := compileTest("relay")
	if err != nil {
		return 0, err
	}
	defer b.remove()
	caught := func(n int) (ok bool) {
		if err == nil {
			_, ok, err = b.run("TestInjectedFaultsAreCaught/"+string(m.invariant), seed, n)
		}
		return ok
	}
	if !caught(limit) {
		return 0, err
	}
	return sort.Search(limit, caught), err
}
