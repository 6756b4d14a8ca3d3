package main

import (
	"bytes"
	"io"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a random test that was renamed or removed and counts as passed without a run.
func TestSoakMakesRuns(t *testing.T) {
	var out bytes.Buffer
	if err := soak(&out, 1, 20, nil); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if n := strings.Count(out.String(), "20 runs from seed 1, violations: 0"); n != len(randomTests) {
		t.Errorf("%d of %d kinds made runs:\n%s", n, len(randomTests), out.String())
	}
}

// Guards against a soak that reports a failed or missing test as passed.
func TestSoakNoticesFailure(t *testing.T) {
	b, err := compileTest("relay")
	if err != nil {
		t.Fatal(err)
	}
	defer b.remove()
	if _, _, err := b.run("TestThatDoesNotExist", 1, 1); err == nil {
		t.Error("a test that does not exist counts as run")
	}
	if _, ok, err := b.run("TestInjectedFaultsAreCaught/LayerCoverage", 1, 1); ok || err != nil {
		t.Errorf("one run without a violation: ok = %v, %v", ok, err)
	}
}

// Guards against invariants that miss the fault that they must detect.
func TestMutantsAreCaught(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	var out bytes.Buffer
	if err := runMutants(&out, 1, 500); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if err := runMutants(io.Discard, 1, 1); err == nil {
		t.Error("faults that need several runs count as caught in one")
	}
}

// Guards against previous values taken from another figure, and against a record that cannot be read back.
func TestRecordedRows(t *testing.T) {
	file := filepath.Join(t.TempDir(), "rows.json")
	old := []Row{{Area: "a", Figure: "x", Value: 1.25, Target: "<= 2"}, {Area: "b", Figure: "x", Value: 7}, {Area: "recover", Figure: "VM: median", Value: 3}, {Area: "recover", Figure: "VM: worst", Value: 4}}
	if err := recordRows(file, file, old); err != nil {
		t.Fatal(err)
	}
	now := []Row{{Area: "a", Figure: "x", Value: 2}, {Area: "a", Figure: "y"}}
	if err := recordRows(file, "", now); err != nil {
		t.Fatal(err)
	}
	if now[0].Previous != "1.25" || now[1].Previous != "" {
		t.Errorf("previous values are %q and %q", now[0].Previous, now[1].Previous)
	}
	c := plotCommand{Input: file, Output: t.TempDir()}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	plots, _ := filepath.Glob(filepath.Join(c.Output, "*.svg"))
	if len(plots) != 2 {
		t.Errorf("plots are %v", plots)
	}
}
