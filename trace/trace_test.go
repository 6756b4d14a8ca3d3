package trace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// Guards against explanations that omit lines which affected the request, include other servers or VMs, or name a cause
// that the lines do not show.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var log *Log
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "log":
				log = &Log{}
				if err := log.Read(strings.NewReader(d.Input)); err != nil {
					t.Fatal(err)
				}
				return fmt.Sprintf("%d lines, %d unreadable, failed %v\n", len(log.lines), log.unreadable, log.FailedRequests())
			case "story":
				s, ok := log.Explanation(teaselstream.AttemptID(d.CmdArgs[0].Key))
				if !ok {
					return "unknown"
				}
				var out strings.Builder
				fmt.Fprintf(&out, "on %s: %s\n", s.VM, s.Cause)
				for _, x := range s.Lines {
					fmt.Fprintln(&out, " ", x.Event)
				}
				for _, x := range s.Beliefs {
					fmt.Fprintln(&out, "  believed:", x.Event, x.text("server"))
				}
				return out.String()
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}
