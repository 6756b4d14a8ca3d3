package envdoc

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// Canonical returns the document without comments and with sections and keys in a fixed order.
//
// Its error is of type [ParseErrors] and lists syntax errors only.
func Canonical(data []byte) ([]byte, error) {
	c := scan("document", data)
	if err := c.errs.sortedOrNil(); err != nil {
		return nil, err
	}
	return canonical(c.sections), nil
}

// DigestOf returns the SHA-256 digest that identifies a canonical document.
func DigestOf(canonical []byte) teaselstream.Digest {
	sum := sha256.Sum256(canonical)
	return teaselstream.Digest(hex.EncodeToString(sum[:]))
}

func canonical(sections []*section) []byte {
	sorted := slices.Clone(sections)
	slices.SortFunc(sorted, func(a, b *section) int { return compareTitles(a.title, b.title) })
	var b bytes.Buffer
	for i, s := range sorted {
		if i > 0 {
			b.WriteByte('\n')
		}
		s.canonical(&b)
	}
	return b.Bytes()
}

// compareTitles orders sections by kind and then by names.
func compareTitles(a, b string) int {
	if d := kindOrder(a) - kindOrder(b); d != 0 {
		return d
	}
	// A space sorts before every character allowed in names, so this compares name by name.
	return strings.Compare(a, b)
}

// cutTitle splits a section title into the kind and the names.
func cutTitle(title string) (kind, names string) {
	kind, names, _ = strings.Cut(title, " ")
	return kind, names
}

func kindOrder(title string) int {
	kind, _ := cutTitle(title)
	return slices.Index(sectionOrder, kind)
}

// canonical writes the section with its keys in alphabetical order.
func (s *section) canonical(b *bytes.Buffer) {
	for _, x := range []string{"[", s.title, "]\n"} {
		b.WriteString(x)
	}
	for _, e := range s.sortedEntries() {
		for _, x := range []string{e.key, " = ", e.value, "\n"} {
			b.WriteString(x)
		}
	}
}

func (s *section) sortedEntries() []entry {
	keys := slices.Clone(s.keys)
	slices.SortFunc(keys, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	return keys
}
