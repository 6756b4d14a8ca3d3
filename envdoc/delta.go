package envdoc

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// typicalPart is the length of a server's section, of which large documents mostly consist.
const typicalPart = 160

// ErrDeltaMismatch reports a delta that does not fit the document that it is applied to.
var ErrDeltaMismatch = errors.New("delta does not apply")

type (
	// Delta holds the sections in which one canonical document differs from another.
	Delta struct {
		// Removed holds headers without brackets.
		Removed []string `cbor:",omitempty"`
		// Changed holds the canonical text of sections that are new or different.
		Changed []string `cbor:",omitempty"`
	}

	// part is the canonical text of one section.
	part struct {
		title string
		text  string
	}
)

// Encode returns the delta in CBOR.
func (d Delta) Encode() ([]byte, error) {
	b, err := encoder.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return b, nil
}

// DecodeDelta reads a delta from CBOR.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := decoder.Unmarshal(data, &d); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

// MakeDelta returns the changes from one canonical document to another.
func MakeDelta(from, to []byte) Delta {
	var d Delta
	merge(split(from), split(to), func(a, b *part) {
		switch {
		case b == nil:
			d.Removed = append(d.Removed, a.title)
		case a == nil || a.text != b.text:
			d.Changed = append(d.Changed, b.text)
		}
	})
	return d
}

// Apply returns the canonical document that a delta makes of another; the caller checks its digest.
func Apply(from []byte, d Delta) ([]byte, error) {
	changed := make([]part, 0, len(d.Changed))
	for _, text := range d.Changed {
		p, ok := newPart(text)
		if !ok {
			return nil, fmt.Errorf("%w: malformed section", ErrDeltaMismatch)
		}
		changed = append(changed, p)
	}
	slices.SortFunc(changed, comparePart)
	removed := make(map[string]bool, len(d.Removed))
	for _, h := range d.Removed {
		removed[h] = true
	}
	var texts []string
	merge(split(from), changed, func(a, b *part) {
		switch {
		case b != nil:
			texts = append(texts, b.text)
		case removed[a.title]:
			delete(removed, a.title)
		default:
			texts = append(texts, a.text)
		}
	})
	if len(removed) > 0 {
		return nil, fmt.Errorf("%w: %d sections to remove are absent", ErrDeltaMismatch, len(removed))
	}
	return []byte(strings.Join(texts, "\n")), nil
}

// split returns the sections of a canonical document in their order.
func split(canonical []byte) []part {
	out := make([]part, 0, len(canonical)/typicalPart+1)
	for rest := string(canonical); rest != ""; {
		text := rest
		if i := strings.Index(rest, "\n\n"); i >= 0 {
			text, rest = rest[:i+1], rest[i+2:]
		} else {
			rest = ""
		}
		if title, ok := titleOf(text); ok {
			out = append(out, part{title: title, text: text})
		}
	}
	return out
}

// newPart returns the part with a section's canonical text.
func newPart(text string) (part, bool) {
	title, ok := titleOf(text)
	if !ok || strings.Contains(text, "\n\n") || !strings.HasSuffix(text, "\n") {
		return part{}, false
	}
	return part{title: title, text: text}, true
}

// titleOf returns the header without brackets of a section's canonical text.
func titleOf(text string) (string, bool) {
	i := strings.IndexByte(text, '\n')
	if i < 3 || text[0] != '[' || text[i-1] != ']' {
		return "", false
	}
	return text[1 : i-1], true
}

func comparePart(a, b part) int { return compareTitles(a.title, b.title) }

// merge visits the sections of two sorted documents side by side; one of a and b is nil if only the other has it.
func merge(from, to []part, visit func(a, b *part)) {
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = comparePart(from[0], to[0])
		}
		switch {
		case order < 0:
			visit(&from[0], nil)
			from = from[1:]
		case order > 0:
			visit(nil, &to[0])
			to = to[1:]
		default:
			visit(&from[0], &to[0])
			from, to = from[1:], to[1:]
		}
	}
}
