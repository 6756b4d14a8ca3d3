package notice

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// Guards against words of one incarnation of a server that are applied to a later one, a leaving that begins anew with each answer, a wait
// that a shorter one cuts, and servers that are remembered for good.
func TestNoticesScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var n Notices
		start := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				n = Notices{}
				return "ok"
			}
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				var at, wait time.Duration
				var id teaselstream.ServerID
				var incarnation teaselstream.Incarnation
				f := append(strings.Fields(line), "0s")
				for i, to := range map[int]*time.Duration{0: &at, 4: &wait} {
					x, err := time.ParseDuration(f[i])
					if err != nil {
						t.Fatal(err)
					}
					*to = x
				}
				if _, err := fmt.Sscan(f[2]+" "+f[3], &id, &incarnation); err != nil {
					t.Fatal(err)
				}
				now := start.Add(at)
				switch f[1] {
				case "leaving":
					fmt.Fprintf(&out, "%s: news %t\n", f[0], n.ObserveLeaving(now, id, incarnation))
				case "wait":
					n.ObserveWait(now, id, incarnation, wait)
				case "ask":
					since := "-"
					if x := n.LeavingSince(id, incarnation); !x.IsZero() {
						since = x.Sub(start).String()
					}
					fmt.Fprintf(&out, "%s: leaving since %s, wait %s, %d servers\n", f[0], since, n.Wait(now, id, incarnation), len(n.servers))
				}
			}
			return out.String()
		})
	})
}
