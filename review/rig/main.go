//go:build review

package rig

import (
	"fmt"
	"os"
	"path/filepath"
)

// Main runs a case, whose folder is review/NUMBER, from the root of the repository and returns its exit code: 0 if the rule held, 1 if
// it was broken, and 2 if the case could not run. The disruption is left out if TROUBLE is 0.
func Main(number string, run func(record *Record, trouble bool) (int, error)) int {
	record, err := OpenRecord(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Add("case %s, with the disruption: %t", number, trouble)
	code, err := run(record, trouble)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return 2
	}
	record.Say("exit code %d", code)
	return code
}
