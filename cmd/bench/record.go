package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// readRows returns the rows of a recorded run.
func readRows(file string) ([]Row, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read recorded run: %w", err)
	}
	var rows []Row
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, fmt.Errorf("parse recorded run %s: %w", file, err)
	}
	return rows, nil
}

// recordRows fills in the previous values from one file and writes the rows to another; an empty name skips the step.
//
// The file of the earlier run need not exist, so that the same command also makes the first record.
func recordRows(previous, record string, rows []Row) error {
	if previous != "" {
		old, err := readRows(previous)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		fillPrevious(rows, old)
	}
	if record == "" {
		return nil
	}
	var b bytes.Buffer
	if err := printJSON(&b, rows); err != nil {
		return err
	}
	if err := os.WriteFile(record, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("record run: %w", err)
	}
	return nil
}

// fillPrevious sets each row's previous value to that of the same figure in an earlier run.
func fillPrevious(rows, old []Row) {
	type figure struct{ area, name string }
	values := make(map[figure]float64, len(old))
	for _, r := range old {
		values[figure{r.Area, r.Figure}] = r.Value
	}
	for i, r := range rows {
		if v, ok := values[figure{r.Area, r.Figure}]; ok {
			rows[i].Previous = fmt.Sprintf("%.4g", v)
		}
	}
}
