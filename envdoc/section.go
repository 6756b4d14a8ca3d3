package envdoc

import (
	"slices"
	"strings"
)

// sectionReader reads the keys of one section and reports missing, malformed and unknown keys.
type sectionReader struct {
	*section
	scan      *scanner
	knownKeys []string
}

func newSectionReader(c *scanner, s *section) *sectionReader {
	return &sectionReader{section: s, scan: c}
}

func (r *sectionReader) addError(key, problem, accepted string) {
	line := r.line
	if e, ok := r.find(key); ok {
		line = e.line
	}
	r.scan.addError(r.section, line, key, problem, accepted)
}

// has reports whether the section sets the key.
func (r *sectionReader) has(key string) bool {
	_, ok := r.find(key)
	return ok
}

// required reads a required key.
func required[T any](r *sectionReader, key string, format valueFormat[T]) T {
	var zero T
	if !r.has(key) {
		r.knownKeys = append(r.knownKeys, key)
		r.addError(key, "the key is missing", format.accepted)
		return zero
	}
	return optional(r, key, format, zero)
}

// optional reads an optional key and returns fallback if it is not set.
func optional[T any](r *sectionReader, key string, format valueFormat[T], fallback T) T {
	r.knownKeys = append(r.knownKeys, key)
	e, ok := r.find(key)
	if !ok {
		return fallback
	}
	if e.value == "" {
		r.addError(key, "the value is missing", format.accepted)
		return fallback
	}
	v, err := format.parse(e.value)
	if err != nil {
		r.addError(key, "invalid value "+quote(e.value), format.accepted)
		return fallback
	}
	return v
}

// optionalList reads an optional key whose distinct values are separated by commas.
func optionalList[T comparable](r *sectionReader, key string, format valueFormat[T]) []T {
	r.knownKeys = append(r.knownKeys, key)
	e, ok := r.find(key)
	if !ok {
		return nil
	}
	var out []T
	seen := map[T]bool{}
	for _, s := range strings.Split(e.value, ",") {
		s = strings.TrimSpace(s)
		v, err := format.parse(s)
		switch {
		case s == "":
			r.addError(key, "the list has an empty value", "values separated by commas, each "+format.accepted)
		case err != nil:
			r.addError(key, "invalid value "+quote(s), "values separated by commas, each "+format.accepted)
		case seen[v]:
			r.addError(key, "the value "+quote(s)+" is listed twice", "each value once")
		default:
			seen[v] = true
			out = append(out, v)
		}
	}
	return out
}

// reportUnknownKeys reports the keys that were not read.
func (r *sectionReader) reportUnknownKeys() {
	for _, e := range r.keys {
		if !slices.Contains(r.knownKeys, e.key) {
			accepted := slices.Clone(r.knownKeys)
			slices.Sort(accepted)
			r.addError(e.key, "unknown key", strings.Join(accepted, ", "))
		}
	}
}
