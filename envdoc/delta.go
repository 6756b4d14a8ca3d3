package envdoc

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// typicalSectionBytes is the size of a server's section; large documents consist mostly of such sections.
const typicalSectionBytes = 160

// ErrDeltaMismatch reports a delta that cannot be applied to the given document.
var ErrDeltaMismatch = errors.New("delta does not apply")

type (
	// Delta holds the sections in which one canonical document differs from another.
	Delta struct {
		// Removed holds the titles of removed sections, which are headers without brackets.
		Removed []string `cbor:",omitempty"`
		// Changed holds the canonical text of new and changed sections.
		Changed []string `cbor:",omitempty"`
	}

	// sectionText is one section with its canonical text.
	sectionText struct {
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

// MakeDelta returns the delta from one canonical document to another.
func MakeDelta(from, to []byte) Delta {
	var d Delta
	merge(split(from), split(to), func(a, b *sectionText) {
		switch {
		case b == nil:
			d.Removed = append(d.Removed, a.title)
		case a == nil || a.text != b.text:
			d.Changed = append(d.Changed, b.text)
		}
	})
	return d
}

// Apply applies a delta to a canonical document and returns the resulting document; the caller verifies its digest.
func Apply(from []byte, d Delta) ([]byte, error) {
	changed := make([]sectionText, 0, len(d.Changed))
	for _, text := range d.Changed {
		p, ok := newSectionText(text)
		if !ok {
			return nil, fmt.Errorf("%w: malformed section", ErrDeltaMismatch)
		}
		changed = append(changed, p)
	}
	slices.SortFunc(changed, compareSections)
	removed := make(map[string]bool, len(d.Removed))
	for _, h := range d.Removed {
		removed[h] = true
	}
	var texts []string
	merge(split(from), changed, func(a, b *sectionText) {
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
		return nil, fmt.Errorf("%w: %d sections to remove do not exist", ErrDeltaMismatch, len(removed))
	}
	return []byte(strings.Join(texts, "\n")), nil
}

// split returns the sections of a canonical document in document order.
func split(canonical []byte) []sectionText {
	out := make([]sectionText, 0, len(canonical)/typicalSectionBytes+1)
	for rest := string(canonical); rest != ""; {
		text := rest
		if i := strings.Index(rest, "\n\n"); i >= 0 {
			text, rest = rest[:i+1], rest[i+2:]
		} else {
			rest = ""
		}
		if title, ok := titleOf(text); ok {
			out = append(out, sectionText{title: title, text: text})
		}
	}
	return out
}

// newSectionText returns the section with the given canonical text; it returns false if the text is not one section.
func newSectionText(text string) (sectionText, bool) {
	title, ok := titleOf(text)
	if !ok || strings.Contains(text, "\n\n") || !strings.HasSuffix(text, "\n") {
		return sectionText{}, false
	}
	return sectionText{title: title, text: text}, true
}

// titleOf returns the title of a section's canonical text, which is its header without brackets.
func titleOf(text string) (string, bool) {
	i := strings.IndexByte(text, '\n')
	if i < 3 || text[0] != '[' || text[i-1] != ']' {
		return "", false
	}
	return text[1 : i-1], true
}

func compareSections(a, b sectionText) int { return compareTitles(a.title, b.title) }

// merge visits the sections of two sorted documents in order; a or b is nil for a section that only the other document has.
func merge(from, to []sectionText, visit func(a, b *sectionText)) {
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = compareSections(from[0], to[0])
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
