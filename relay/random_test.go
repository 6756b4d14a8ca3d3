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

// TestMain fixes the seed of rapid, so that each run gives the same verdict; the flags still override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// Guards against tokens that come twice, miss or belong to another request, and against
// requests without a truthful end, under faults of engines and network.
//
// A recorded run: go test ./relay -run Random -rapid.checks=10000.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &invar.Recorder{}
		w := drawWorld(t, 0, v)
		w.run()
		problems := append(w.problems, w.wrong()...)
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
			rapid.Check(t, func(t *rapid.T) { drawWorld(t, c.fault, v).run() })
			if caught == 0 {
				t.Errorf("no violation of %s with the fault injected", c.name)
			}
		})
	}
}

// drawWorld returns a session with up to 5 faults, noise on its frames, and an end or pause by its caller.
func drawWorld(t *rapid.T, f invar.Faults, v *invar.Recorder) *world {
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
	w := newWorld(tokens, faults, f, v)
	w.relay.config.MoveAfter = rapid.SampledFrom([]time.Duration{time.Millisecond, 200 * time.Millisecond, time.Hour}).Draw(t, "move after")
	if rapid.IntRange(0, 4).Draw(t, "down") == 0 {
		w.down[rapid.SampledFrom(replicas[0]).Draw(t, "down server")] = "crash"
	}
	level := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "noise")
	w.noise = noise{
		random:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1)),
		duplicate: level, reorder: level, foreign: level, lateEnd: 0.5,
	}
	at := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, name)) * time.Millisecond
	}
	w.undisturbed = len(faults) == 0 && len(w.down) == 0
	if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
		w.undisturbed = false
		w.queue.After(at("gone"), func() { w.update("gone", CallerDisconnected{}) })
	}
	if rapid.IntRange(0, 4).Draw(t, "pauses") == 0 {
		from := at("preempt")
		w.queue.After(from, func() { w.update("preempt", Preempted{}) })
		w.queue.After(from+at("pause"), func() { w.update("resume", Resume{}) })
	}
	return w
}

// wrong compares what the caller got with the one right answer and with what the engines saw.
func (w *world) wrong() []string {
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
	if f.Code != "" && w.undisturbed {
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
