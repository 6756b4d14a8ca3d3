package procs

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against failures that appear only between real processes: interrupted requests, orders that run twice, documents
// that return to an older generation, false outcomes and wrong exit codes. Each file of testdata/scripts names its case.
func TestScripts(t *testing.T) {
	p, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Remove()
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		f, err := NewFleet(p)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		}()
		s := NewScript(f)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, l := range strings.Split(d.Input, "\n") {
				out.WriteString(s.Run(l) + "\n")
			}
			return out.String()
		})
		wrong, err := s.Violations()
		if err != nil || len(wrong) > 0 {
			t.Errorf("violations after the script: %q, %v", wrong, err)
		}
	})
}
