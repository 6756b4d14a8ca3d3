package runs

import (
	"flag"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream/invar"
)

func TestMain(m *testing.M) {
	// The defaults make the runs the same on each machine; soak tests set -rapid.seed and -rapid.checks.
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "20", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	// The log is discarded because the mutation tests cause violations on purpose, and the recorder keeps them.
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

// Guards against violated invariants during random faults, and against a fleet that does not recover after them.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Draw(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		r := RunScenario(s)
		for _, v := range r.Violations {
			t.Errorf("%v", v)
		}
		for _, x := range r.Unrecovered {
			t.Errorf("%s", x)
		}
		if t.Failed() {
			t.Logf("scenario: %+v", s)
		}
	})
}

// Guards against placement orders that remove the last copy of a layer.
func TestRandomPlacement(t *testing.T) { checkPlacement(t) }

// Guards against a repeated order of a pending move that removes the last copy of a layer: the other
// copy was lost after the move was recorded in the store.
func TestPlacementRepeatsPendingOrder(t *testing.T) {
	setFlags(t, map[string]string{"rapid.seed": "3917", "rapid.checks": "1", "rapid.shrinktime": "0s"})
	checkPlacement(t)
}

func setFlags(t *testing.T, values map[string]string) {
	t.Helper()
	for name, v := range values {
		old := flag.Lookup(name).Value.String()
		t.Cleanup(func() {
			if err := flag.Set(name, old); err != nil {
				t.Error(err)
			}
		})
		if err := flag.Set(name, v); err != nil {
			t.Fatal(err)
		}
	}
}

func checkPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DrawPlacement(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		r := RunScenario(s)
		if len(r.Violations) > 0 || len(r.Unrecovered) > 0 {
			t.Errorf("%v %v in scenario %+v", r.Violations, r.Unrecovered, s)
		}
	})
}

// Guards against random runs that do not detect a violated invariant.
func TestMutantsAreFound(t *testing.T) {
	for name, f := range map[string]invar.Faults{
		"InvertGeneration": invar.InvertGeneration, "IgnoreLeaving": invar.IgnoreLeaving, "CutDrain": invar.CutDrain,
	} {
		n, v := DetectFault(f, 1, 200)
		if n == 0 {
			t.Errorf("%s: no violation in 200 runs", name)
		}
		t.Logf("%s: run %d: %v", name, n, v)
	}
}

// Guards against runs whose result depends on anything but the seed.
func TestRunsAreDeterministic(t *testing.T) {
	play := func() string {
		s := Draw(rand.New(rand.NewPCG(7, 7)).IntN)
		f := NewFleet(s.Config)
		tr := f.Record()
		f.StartAll()
		for _, e := range s.Events {
			f.Queue.After(e.At, func() { f.applyEvent(e) })
		}
		f.Run(settleTime)
		return tr.Flush()
	}
	if a, b := play(), play(); a != b {
		t.Error("two runs of one scenario differ")
	}
}
