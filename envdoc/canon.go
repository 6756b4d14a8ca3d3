package envdoc

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// Canonical returns the document without comments, with sections and keys in a fixed order.
//
// Its error is of type [ParseErrors] and lists faults of syntax only.
func Canonical(data []byte) ([]byte, error) {
	c := scan("document", data)
	if err := c.faults.errorOrNil(); err != nil {
		return nil, err
	}
	return canonical(c.sections), nil
}

// DigestOf returns the digest that names a document in its canonical form.
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

// compareTitles orders sections by kind, then by names.
func compareTitles(a, b string) int {
	if d := rank(a) - rank(b); d != 0 {
		return d
	}
	// A space sorts before all characters of names, so that this compares name by name.
	return strings.Compare(a, b)
}

// cutTitle splits a title into the kind and the names.
func cutTitle(title string) (kind, names string) {
	kind, names, _ = strings.Cut(title, " ")
	return kind, names
}

func rank(title string) int {
	kind, _ := cutTitle(title)
	return slices.Index(sectionOrder, kind)
}

// canonical writes the section with its keys in alphabetical order.
func (s *section) canonical(b *bytes.Buffer) {
	for _, x := range []string{"[", s.title, "]\n"} {
		b.WriteString(x)
	}
	for _, e := range s.sorted() {
		for _, x := range []string{e.key, " = ", e.value, "\n"} {
			b.WriteString(x)
		}
	}
}

func (s *section) sorted() []entry {
	keys := slices.Clone(s.keys)
	slices.SortFunc(keys, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	return keys
}
