package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"gopkg.in/ini.v1"
)

// iniOptions accepts "Key = value" lines only; the reader reports what the library passes over.
var iniOptions = ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: true, IgnoreInlineComment: true}

// LoadEntry reads and checks a settings file; its error lists every fault.
//
// Secrets come from a file (SecretFile, relative to the settings file) or an
// environment variable (SecretEnv), so that the settings can be shown.
func LoadEntry(file string) (EntrySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return EntrySettings{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(file, data, os.LookupEnv)
}

func parse(file string, data []byte, lookup func(string) (string, bool)) (EntrySettings, error) {
	r := newReader(file, filepath.Dir(file), data, lookup)
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return EntrySettings{}, fmt.Errorf("parse settings %s: %w", file, err)
	}
	r.file = f
	s := r.settings()
	r.unknown()
	if err := errors.Join(r.sorted()...); err != nil {
		return EntrySettings{}, err
	}
	return s, nil
}
