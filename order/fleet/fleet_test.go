package fleet

import (
	"flag"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/teaselstream/teaselstream/invar"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixSeed()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

// fixSeed sets the same rapid seed in each run unless the command line gives one, so that CI results are reproducible.
func fixSeed() {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
}

// Guards against a run that violates an invariant or leaves a call unanswered.
func TestRunsSeeded(t *testing.T) {
	for seed := range uint64(100) {
		r := Run(rand.New(rand.NewPCG(seed, 0)), 0)
		if len(r.Violations) > 0 || len(r.Failures) > 0 {
			t.Fatalf("seed %d: violations %v, failures %v", seed, r.Violations, r.Failures)
		}
	}
}

// Guards against invariant checks that cannot fail: each injected fault must violate one.
func TestMutantsAreFound(t *testing.T) {
	for _, x := range []invar.Faults{invar.SkipClaim, invar.ClaimNotRun} {
		n, found := RunsToFind(x, 1, 500)
		if !found {
			t.Errorf("fault %b is not found in %d runs", x, n)
		}
	}
}
