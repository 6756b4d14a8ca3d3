package order

import (
	"net/url"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// overrides are headers that make some servers use a method other than that of the request line.
var overrides = []string{"X-HTTP-Method-Override", "X-HTTP-Method", "X-Method-Override"}

// Idempotent reports whether a call matches one of the patterns "METHOD /prefix".
//
// If servers could interpret the call's method or path differently, no pattern matches: a non-idempotent call must not
// be retried as an idempotent one.
func Idempotent(patterns []string, c teaselstream.ServiceCall) bool {
	raw, _, _ := strings.Cut(c.Path, "?")
	path, ok := plainPath(raw)
	if !ok || overridden(c.Header) {
		return false
	}
	for _, p := range patterns {
		m, prefix, ok := strings.Cut(strings.TrimSpace(p), " ")
		prefix = strings.TrimSpace(prefix)
		if ok && m == c.Method && hasPathPrefix(raw, prefix) && hasPathPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func hasPathPrefix(path, prefix string) bool {
	if prefix == "" || !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// plainPath decodes a path. It reports false if servers may interpret the path in different ways.
func plainPath(raw string) (string, bool) {
	path, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "%\\;#?") || strings.Contains(path, "//") {
		return "", false
	}
	if strings.Count(path, "/") != strings.Count(raw, "/") {
		return "", false
	}
	for _, s := range strings.Split(path, "/") {
		if s == "." || s == ".." {
			return "", false
		}
	}
	return path, strings.IndexFunc(path, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
}

func overridden(header [][2]string) bool {
	for _, h := range header {
		for _, o := range overrides {
			if strings.EqualFold(h[0], o) {
				return true
			}
		}
	}
	return false
}
