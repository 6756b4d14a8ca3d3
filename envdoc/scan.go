package envdoc

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

type (
	// section is one INI section with the line numbers for error messages.
	section struct {
		kind  string
		names []string
		// title is the header without brackets.
		title string
		line  int
		keys  []entry
	}

	entry struct {
		key   string
		value string
		line  int
	}

	scanner struct {
		file     string
		sections []*section
		errs     ParseErrors
	}
)

const (
	kindEnvironment = "Environment"
	kindLimits      = "Limits"
	kindModel       = "Model"
	kindTeam        = "Team"
	kindService     = "Service"
	kindServer      = "Server"
	kindLink        = "Link"
)

var (
	// sectionNameCounts holds the number of names that follow each section kind in a header.
	sectionNameCounts = map[string]int{
		kindEnvironment: 0, kindLimits: 0, kindModel: 1, kindTeam: 1,
		kindService: 1, kindServer: 1, kindLink: 2,
	}

	// sectionOrder is the order of section kinds in a canonical document.
	sectionOrder = []string{
		kindEnvironment, kindLimits, kindModel, kindService, kindTeam, kindLink, kindServer,
	}
)

const (
	maxNameBytes = 63
	// maxSectionKeys bounds the keys of a section because their search is linear; no section kind defines a third as many.
	maxSectionKeys   = 64
	acceptedSections = "[Environment], [Limits], [Model NAME], [Team NAME], [Service NAME], [Server NAME], [Link A B]"
	acceptedName     = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
)

// isName reports whether s is a valid name; it must be fast because it is called for every section of a large document.
func isName(s string) bool {
	if len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !isAlphanumeric(c) && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return s != ""
}

func isKey(s string) bool {
	for i := range len(s) {
		if !isAlphanumeric(s[i]) {
			return false
		}
	}
	return s != "" && 'A' <= s[0] && s[0] <= 'Z'
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// find returns the entry of a key.
func (s *section) find(key string) (entry, bool) {
	i := slices.IndexFunc(s.keys, func(e entry) bool { return e.key == key })
	if i < 0 {
		return entry{}, false
	}
	return s.keys[i], true
}

// scan splits a document into sections and reports syntax errors.
func scan(file string, data []byte) *scanner {
	c := &scanner{file: file}
	text := strings.TrimPrefix(string(data), "\uFEFF")
	seen := map[string]int{}
	var at *section
	line := 0
	for raw := range strings.SplitSeq(text, "\n") {
		line++
		l := strings.TrimSpace(raw)
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case !utf8.ValidString(l) || strings.ContainsFunc(l, isControl):
			c.addError(at, line, "", "the line has bytes that are not printable text", "UTF-8 text without control characters")
		case l[0] == '[':
			at = c.section(l, line, seen)
		default:
			c.entry(at, l, line)
		}
	}
	return c
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (c *scanner) addError(s *section, line int, key, problem, accepted string) {
	f := ParseError{File: c.file, Line: line, Key: key, Problem: problem, Accepted: accepted}
	if s != nil {
		f.Section = s.title
	}
	c.errs = append(c.errs, f)
}

// section starts a section; an invalid one still collects its keys, so that they cause no further errors.
func (c *scanner) section(l string, line int, seen map[string]int) *section {
	words := strings.Fields(strings.TrimSuffix(l[1:], "]"))
	if !strings.HasSuffix(l, "]") || len(words) == 0 {
		c.addError(nil, line, "", "malformed section header "+quote(l), acceptedSections)
		return &section{line: line}
	}
	s := &section{kind: words[0], names: words[1:], title: strings.Join(words, " "), line: line}
	want, known := sectionNameCounts[s.kind]
	if !known || len(s.names) != want {
		c.addError(nil, line, "", "unknown section "+quote(l), acceptedSections)
		return &section{line: line}
	}
	for _, n := range s.names {
		if !isName(n) {
			c.addError(s, line, "", "invalid name "+quote(n), acceptedName)
			return &section{line: line}
		}
	}
	if first, ok := seen[s.title]; ok {
		c.addError(s, line, "", "the section stands on line "+formatInt(first)+" already", "each section once")
		return &section{line: line}
	}
	seen[s.title] = line
	c.sections = append(c.sections, s)
	return s
}

func (c *scanner) entry(s *section, l string, line int) {
	key, value, ok := strings.Cut(l, "=")
	key = strings.TrimSpace(key)
	switch {
	case !ok:
		c.addError(s, line, "", "malformed line "+quote(l), "Key = value")
	case s == nil:
		c.addError(nil, line, key, "the key is set before the first section", acceptedSections)
	case !isKey(key):
		c.addError(s, line, key, "invalid key", "a Pascal-case key such as MaxTokens")
	case len(s.keys) == maxSectionKeys:
		c.addError(s, line, key, "the section has too many keys", "at most "+formatInt(maxSectionKeys))
	default:
		if e, dup := s.find(key); dup {
			c.addError(s, line, key, "the key stands on line "+formatInt(e.line)+" already", "each key once per section")
			return
		}
		s.keys = append(s.keys, entry{key: key, value: strings.TrimSpace(value), line: line})
	}
}
