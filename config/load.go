package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"gopkg.in/ini.v1"
)

// iniOptions accepts only "Key = value" lines; the reader reports the lines that the library skips.
var iniOptions = ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: true, IgnoreInlineComment: true}

// LoadEntry reads and checks the settings file of cmd/entry; its error lists every invalid setting.
//
// A secret comes from a separate file (SecretFile, relative to the settings
// file) or an environment variable (SecretEnv), so that the settings file
// itself contains none and can be shown.
func LoadEntry(file string) (EntrySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return EntrySettings{}, fmt.Errorf("read settings: %w", err)
	}
	return parse(file, data, os.LookupEnv)
}

func parse(file string, data []byte, lookupEnv func(string) (string, bool)) (EntrySettings, error) {
	r := newReader(file, filepath.Dir(file), data, lookupEnv)
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return EntrySettings{}, fmt.Errorf("parse settings %s: %w", file, err)
	}
	r.file = f
	s := r.entrySettings()
	r.reportUnknown()
	if err := errors.Join(r.sortedErrors()...); err != nil {
		return EntrySettings{}, err
	}
	return s, nil
}
