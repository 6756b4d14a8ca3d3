package envdoc

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// ParseError is one error in a document.
	ParseError struct {
		File string
		// Line counts from 1.
		Line int
		// Section is the header without brackets, or empty before the first section.
		Section string
		Key     string
		Problem string
		// Accepted describes the accepted form.
		Accepted string
	}

	// ParseErrors lists every error of a document in line order.
	ParseErrors []ParseError
)

// Error describes the fault as "file:line: [Section] Key: problem; accepted: form".
func (f ParseError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", f.Accepted)
	}
	return b.String()
}

// Error lists the faults, one per line.
func (f ParseErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns the faults sorted by line, or nil if there are none.
func (f ParseErrors) errorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b ParseError) int { return a.Line - b.Line })
	return f
}
