package config

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

type (
	// reader reads the keys of a settings file and records errors and the names of the keys that it has read.
	reader struct {
		path        string
		dir         string
		lookupEnv   func(string) (string, bool)
		file        *ini.File
		lines       map[string]int
		knownKeys   map[string][]string
		settingErrs []settingError
	}

	settingError struct {
		file     string
		line     int
		key      string
		problem  string
		accepted string
	}
)

// Error formats the error with its file, line and key and the accepted values.
func (f settingError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s; accepted: %s", f.file, f.line, f.key, f.problem, f.accepted)
}

func newReader(path, dir string, data []byte, lookupEnv func(string) (string, bool)) *reader {
	r := &reader{path: path, dir: dir, lookupEnv: lookupEnv, lines: map[string]int{}, knownKeys: map[string][]string{}}
	r.indexLines(data)
	return r
}

// indexLines records the line of each section and key, which the INI library does not report.
func (r *reader) indexLines(data []byte) {
	s := bufio.NewScanner(bytes.NewReader(data))
	section := ""
	for n := 1; s.Scan(); n++ {
		l := strings.TrimSpace(s.Text())
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case l[0] == '[' && strings.HasSuffix(l, "]"):
			section = l[1 : len(l)-1]
			r.addLine(section, n, "each section once")
		default:
			r.indexKey(section, l, n)
		}
	}
}

func (r *reader) indexKey(section, l string, n int) {
	key, _, ok := strings.Cut(l, "=")
	if !ok {
		r.addError(n, l, "malformed line", "Key = value")
		return
	}
	r.addLine(section+"."+strings.TrimSpace(key), n, "each key once per section")
}

func (r *reader) addLine(key string, n int, accepted string) {
	if first, ok := r.lines[key]; ok {
		r.addError(n, key, fmt.Sprintf("already set on line %d", first), accepted)
		return
	}
	r.lines[key] = n
}

func (r *reader) addError(line int, key, problem, accepted string) {
	r.settingErrs = append(r.settingErrs, settingError{file: r.path, line: line, key: key, problem: problem, accepted: accepted})
}

func (r *reader) addKeyError(section, key, problem, accepted string) {
	line, ok := r.lines[section+"."+key]
	if !ok {
		line = max(r.lines[section], 1)
	}
	r.addError(line, section+"."+key, problem, accepted)
}

func (r *reader) value(section, key string) string {
	r.knownKeys[section] = append(r.knownKeys[section], key)
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) required(section, key string, f valueFormat) string {
	v := r.value(section, key)
	if v == "" {
		r.addKeyError(section, key, "the value is missing", f.accepted)
		return ""
	}
	return r.checked(section, key, v, f)
}

func (r *reader) optional(section, key string, f valueFormat, fallback string) string {
	v := r.value(section, key)
	if v == "" {
		return fallback
	}
	return r.checked(section, key, v, f)
}

func (r *reader) checked(section, key, v string, f valueFormat) string {
	if !f.valid(v) {
		r.addKeyError(section, key, "invalid value "+strconv.Quote(v), f.accepted)
	}
	return v
}

func (r *reader) addresses(section, key string, required bool) []string {
	v := r.value(section, key)
	if v == "" {
		if required {
			r.addKeyError(section, key, "the value is missing", listFormat.accepted)
		}
		return nil
	}
	var list []string
	for _, a := range strings.Split(v, ",") {
		list = append(list, r.checked(section, key, strings.TrimSpace(a), addressFormat))
	}
	return list
}

func (r *reader) duration(section, key string, fallback time.Duration) time.Duration {
	v := r.optional(section, key, durationFormat, "")
	if v == "" {
		return fallback
	}
	d, _ := time.ParseDuration(v)
	return d
}

func (r *reader) count(section, key string, fallback int) int {
	v := r.optional(section, key, countFormat, "")
	if v == "" {
		return fallback
	}
	n, _ := strconv.Atoi(v)
	return n
}

// secret reads a secret from key+"File" or key+"Env"; exactly one of them must be set.
func (r *reader) secret(section, key string) Secret {
	file := r.value(section, key+"File")
	env := r.value(section, key+"Env")
	accepted := key + "File = PATH or " + key + "Env = VARIABLE"
	if (file == "") == (env == "") {
		r.addKeyError(section, key+"File", "exactly one source must be set for the secret", accepted)
		return ""
	}
	if env != "" {
		v, ok := r.lookupEnv(env)
		if !ok || v == "" {
			r.addKeyError(section, key+"Env", "the variable "+strconv.Quote(env)+" is not set", accepted)
		}
		return Secret(v)
	}
	if !filepath.IsAbs(file) {
		file = filepath.Join(r.dir, file)
	}
	data, err := os.ReadFile(file)
	v := strings.TrimSpace(string(data))
	if err != nil || v == "" {
		r.addKeyError(section, key+"File", "the file cannot be read or is empty", accepted)
	}
	return Secret(v)
}

// reportUnknown reports the sections and keys that were not read.
func (r *reader) reportUnknown() {
	for _, s := range r.file.Sections() {
		knownKeys, ok := r.knownKeys[s.Name()]
		if !ok && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			r.addError(max(r.lines[s.Name()], 1), s.Name(), "unknown section", strings.Join(sortedKeys(r.knownKeys), ", "))
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(knownKeys, k.Name()) {
				r.addKeyError(s.Name(), k.Name(), "unknown key", strings.Join(knownKeys, ", "))
			}
		}
	}
}

func (r *reader) sortedErrors() []error {
	slices.SortStableFunc(r.settingErrs, func(a, b settingError) int { return a.line - b.line })
	errs := make([]error, len(r.settingErrs))
	for i, f := range r.settingErrs {
		errs[i] = f
	}
	return errs
}
