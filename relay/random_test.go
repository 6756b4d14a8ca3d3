package relay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

// TestMain fixes the seed of rapid, so that each run gives the same result; flags on the command line override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// Guards against answers with repeated, missing or foreign tokens, and against requests that end more than once,
// never, or with a wrong outcome, when engines and network fail.
//
// A recorded run with more checks: go test ./relay -run Random -rapid.checks=10000.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &invar.Recorder{}
		w := drawSimulation(t, 0, v)
		w.run()
		problems := append(w.problems, w.checkResult()...)
		for _, x := range v.Found() {
			problems = append(problems, x.Error())
		}
		if len(problems) > 0 {
			t.Fatalf("%v\n%s", problems, w.log.String())
		}
	})
}

// Guards against checks that cannot fail: each injected fault must lead to a recorded violation.
func TestInjectedFaultsAreCaught(t *testing.T) {
	for _, c := range []struct {
		fault invar.Faults
		name  invar.Name
	}{
		{invar.IgnoreAttempt, invar.AnswerOwnership},
		{invar.SkipReceipts, invar.LayerCoverage},
	} {
		t.Run(string(c.name), func(t *testing.T) {
			caught := 0
			v := &invar.Recorder{OnViolation: func(x invar.Violation) {
				if x.Invariant == c.name {
					caught++
				}
			}}
			rapid.Check(t, func(t *rapid.T) { drawSimulation(t, c.fault, v).run() })
			if caught == 0 {
				t.Errorf("no violation of %s with the fault injected", c.name)
			}
		})
	}
}

// drawSimulation draws a session with up to 5 engine faults, network faults, and a caller that may leave or a stream that
// may be preempted.
func drawSimulation(t *rapid.T, f invar.Faults, v *invar.Recorder) *simulation {
	tokens := rapid.IntRange(0, 70).Draw(t, "tokens")
	var faults []fault
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		group := rapid.SampledFrom(replicas).Draw(t, "group")
		faults = append(faults, fault{
			kind:   rapid.SampledFrom([]string{"crash", "hang", "stuck", "gap", "leave"}).Draw(t, "kind"),
			server: rapid.SampledFrom(group).Draw(t, "server"),
			at:     rapid.IntRange(-1, tokens).Draw(t, "at"),
		})
	}
	w := newSimulation(tokens, faults, f, v)
	w.relay.config.MoveAfter = rapid.SampledFrom([]time.Duration{time.Millisecond, 200 * time.Millisecond, time.Hour}).Draw(t, "move after")
	if rapid.IntRange(0, 4).Draw(t, "down") == 0 {
		w.down[rapid.SampledFrom(replicas[0]).Draw(t, "down server")] = "crash"
	}
	level := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "noise")
	w.networkFaults = networkFaults{
		random:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1)),
		duplicate: level, reorder: level, foreign: level, lateCancel: 0.5,
	}
	at := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
	}
	w.mustComplete = len(faults) == 0 && len(w.down) == 0
	if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
		w.mustComplete = false
		w.queue.After(at("gone"), func() { w.update("gone", CallerDisconnected{}) })
	}
	if rapid.IntRange(0, 4).Draw(t, "pauses") == 0 {
		from := at("preempt")
		w.queue.After(from, func() { w.update("preempt", Preempted{}) })
		w.queue.After(from+at("pause"), func() { w.update("resume", Resume{}) })
	}
	return w
}

// checkResult compares what the caller got with the expected answer and with what reached the engines.
func (w *simulation) checkResult() []string {
	var out []string
	if len(w.finishes) != 1 {
		return append(out, fmt.Sprintf("%d ends, want 1", len(w.finishes)))
	}
	f := w.finishes[0]
	for i, text := range w.received {
		if text != tokenText(i) {
			out = append(out, fmt.Sprintf("token %d is %q", i, text))
		}
	}
	if f.Code == "" && len(w.received) != w.tokens {
		out = append(out, fmt.Sprintf("complete answer with %d of %d tokens", len(w.received), w.tokens))
	}
	if f.Code != "" && w.mustComplete {
		out = append(out, "no complete answer although no server failed: "+string(f.Code))
	}
	if f.Tokens != len(w.received) {
		out = append(out, fmt.Sprintf("end states %d tokens, the caller got %d", f.Tokens, len(w.received)))
	}
	if f.Outcome == teaselstream.NotRun && w.reached {
		out = append(out, "NotRun although an engine was reached")
	}
	if f.Code != "" && f.Outcome == teaselstream.Ran && len(w.received) == 0 {
		out = append(out, "Ran without a token")
	}
	return out
}

func serverID(s string) teaselstream.ServerID { return teaselstream.ServerID(s) }
