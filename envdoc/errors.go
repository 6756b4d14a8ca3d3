package envdoc

import (
	"fmt"
	"slices"
	"strings"
)

type (
	// ParseError is one syntax or validation error in a document.
	ParseError struct {
		File string
		// Line counts from 1.
		Line int
		// Section is the section's header without brackets; it is empty before the first section.
		Section string
		Key     string
		Problem string
		// Accepted describes the values that are accepted.
		Accepted string
	}

	// ParseErrors lists every error in a document in line order.
	ParseErrors []ParseError
)

// Error formats the error as "file:line: [Section] Key: problem; accepted: values".
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

// Error lists the errors, one per line.
func (f ParseErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// sortedOrNil returns the errors sorted by line, or nil if there are none.
func (f ParseErrors) sortedOrNil() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b ParseError) int { return a.Line - b.Line })
	return f
}
