//go:build review

package rig

import (
	"fmt"
	"os"
)

// Main runs a case and returns its exit code: 0 if the rule held, 1 if it was broken, and 2 if the case could not run. The arguments of
// the program are the file of the record and the value of TROUBLE; the disruption is left out if that is 0.
func Main(run func(record *Record, trouble bool) (int, error)) int {
	if len(os.Args) != 3 {
		fmt.Println("the arguments are missing; accepted: the file of the record and the value of TROUBLE")
		return 2
	}
	record, err := OpenRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	trouble := os.Args[2] != "0"
	record.Add("%s, with the disruption: %t", os.Args[0], trouble)
	code, err := run(record, trouble)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return 2
	}
	record.Say("exit code %d", code)
	return code
}
