package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/teaselstream/teaselstream/envdoc"
)

// table is a result in rows and columns, with head as the column headings.
type table struct {
	head []string
	rows [][]string
}

// print writes v as JSON or t as a table, depending on the option --output.
func (a *app) print(v any, t table) error {
	if a.options.Output == "json" {
		return printJSON(a.out, v)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{t.head}, t.rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return w.Flush()
}

// printNext prints what to do next after a table; JSON output contains no such advice.
func (a *app) printNext(format string, args ...any) {
	if a.options.Output != "json" {
		_, _ = fmt.Fprintf(a.out, "next: "+format+"\n", args...)
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

var slotHead = []string{"SLOT", "GENERATION", "DIGEST", "REPLACES", "WRITER", "TIME", "OPERATION"}

func slotRow(name string, s envdoc.Slot) []string {
	if s.Generation == 0 {
		return []string{name, "none"}
	}
	return []string{
		name, fmt.Sprint(s.Generation), shortDigest(s.Digest), fmt.Sprint(s.Base), s.Writer,
		s.Time.Format(time.RFC3339), s.Operation,
	}
}
