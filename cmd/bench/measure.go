package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

type (
	// Row is one measured figure beside its target and baseline.
	Row struct {
		Area     string
		Figure   string
		Value    float64
		Unit     string
		Target   string
		Baseline string
		Previous string
		Met      bool
	}

	// area is a named group of measurements.
	area struct {
		name    string
		measure func() ([]Row, error)
	}
)

// areas lists the measurements in the order in which they are printed.
var areas = []area{
	{"process", measureProcess},
	{name: "order", measure: measureOrder},
	{name: "control", measure: measureControl},
}

func runAreas(names []string) ([]Row, error) {
	var rows []Row
	for _, a := range areas {
		if !selected(names, a.name) {
			continue
		}
		r, err := a.measure()
		if err != nil {
			return rows, fmt.Errorf("measure %s: %w", a.name, err)
		}
		rows = append(rows, r...)
	}
	return rows, nil
}

// selected reports whether name is among names; an empty list selects all.
func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func printRows(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "AREA\tFIGURE\tVALUE\tUNIT\tTARGET\tBASELINE\tPREVIOUS\tMET")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\t%v\n", r.Area, r.Figure, r.Value, r.Unit, r.Target, r.Baseline, r.Previous, r.Met)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

func printJSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(rows); err != nil {
		return fmt.Errorf("encode rows: %w", err)
	}
	return nil
}
