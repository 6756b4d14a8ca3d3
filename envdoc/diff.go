package envdoc

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Section is the section's header without brackets.
	Section string
	// Key is empty if the whole section was added or removed.
	Key string
	// Old is empty for an addition, and New is empty for a removal.
	Old string
	New string
	// Kind is Added, Removed or Changed.
	Kind string
}

const (
	// Added marks a section or key that only the new document has.
	Added = "Added"
	// Removed marks a section or key that only the old document has.
	Removed = "Removed"
	// Changed marks a key whose value differs.
	Changed = "Changed"
)

// String describes the change in one line.
func (c Change) String() string {
	at := "[" + c.Section + "]"
	if c.Key != "" {
		at += " " + c.Key
	}
	switch c.Kind {
	case Added:
		return strings.TrimRight(fmt.Sprintf("+ %s %s", at, c.New), " ")
	case Removed:
		return strings.TrimRight(fmt.Sprintf("- %s %s", at, c.Old), " ")
	default:
		return fmt.Sprintf("~ %s %s -> %s", at, c.Old, c.New)
	}
}

// Diff returns the differences between two canonical documents in section order.
//
// An added or removed section is followed by its keys.
func Diff(from, to []byte) []Change {
	var out []Change
	merge(split(from), split(to), func(a, b *sectionText) {
		switch {
		case a == nil:
			out = append(out, Change{Section: b.title, Kind: Added})
		case b == nil:
			out = append(out, Change{Section: a.title, Kind: Removed})
		}
		out = append(out, diffKeys(a, b)...)
	})
	return out
}

func diffKeys(a, b *sectionText) []Change {
	header, from, to := "", map[string]string{}, map[string]string{}
	if a != nil {
		header, from = a.title, a.keyValues()
	}
	if b != nil {
		header, to = b.title, b.keyValues()
	}
	all := maps.Clone(from)
	maps.Copy(all, to)
	var out []Change
	for _, k := range slices.Sorted(maps.Keys(all)) {
		before, had := from[k]
		after, has := to[k]
		c := Change{Section: header, Key: k, Old: before, New: after, Kind: Changed}
		switch {
		case !had:
			c.Kind = Added
		case !has:
			c.Kind = Removed
		case before == after:
			continue
		}
		if strings.HasPrefix(header, kindServer+" ") && k == "Key" {
			c.redact()
		}
		out = append(out, c)
	}
	return out
}

// redact replaces the values of a secret.
func (c *Change) redact() {
	if c.Old != "" {
		c.Old = "(secret)"
	}
	if c.New != "" {
		c.New = "(secret)"
	}
}

// keyValues returns the section's keys and values.
func (p *sectionText) keyValues() map[string]string {
	out := map[string]string{}
	for _, e := range scan("", []byte(p.text)).sections {
		for _, k := range e.keys {
			out[k.key] = k.value
		}
	}
	return out
}
