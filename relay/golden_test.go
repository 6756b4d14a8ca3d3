package relay

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream/invar"
)

// Guards against changes of the commands, their order and their times when stages are lost in each phase of a request.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var tokens int
			d.ScanArgs(t, "tokens", &tokens)
			v := &invar.Recorder{}
			w := newSimulation(tokens, nil, 0, v)
			if d.HasArg("no-retries") {
				w.relay.config.MayRetry = func(time.Time) bool { return false }
			}
			if d.HasArg("move-ms") {
				var ms int
				d.ScanArgs(t, "move-ms", &ms)
				w.relay.config.MoveAfter = time.Duration(ms) * time.Millisecond
			}
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				w.addLine(t, strings.Fields(line))
			}
			w.run()
			for _, p := range append(w.problems, w.checkResult()...) {
				w.logLine("?", p)
			}
			if n := len(v.Found()); n > 0 {
				w.logLine("?", fmt.Sprintf("%d violations", n))
			}
			return w.log.String()
		})
	})
}

// addLine schedules one line of a script: "KIND SERVER TOKEN", "KIND SERVER prefill", "down SERVER", or
// "gone|preempt|resume MILLISECONDS".
func (w *simulation) addLine(t *testing.T, f []string) {
	switch len(f) {
	case 0:
	case 2:
		if f[0] == "down" {
			w.down[serverID(f[1])] = "crash"
			return
		}
		ms, err := strconv.Atoi(f[1])
		if err != nil {
			t.Fatal(err)
		}
		m := map[string]any{"gone": CallerDisconnected{}, "preempt": Preempted{}, "resume": Resume{}}[f[0]]
		w.queue.After(time.Duration(ms)*time.Millisecond, func() { w.update(f[0], m) })
	default:
		at := -1
		if f[2] != "prefill" {
			var err error
			if at, err = strconv.Atoi(f[2]); err != nil {
				t.Fatal(err)
			}
		}
		w.faults = append(w.faults, fault{kind: f[0], server: serverID(f[1]), at: at})
	}
}
