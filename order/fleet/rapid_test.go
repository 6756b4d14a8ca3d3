package fleet

import (
	"testing"

	"pgregory.net/rapid"
)

// rapidRand draws a run's random choices from rapid, so that a failing run can be shrunk.
type rapidRand struct{ t *rapid.T }

func (r rapidRand) Float64() float64 { return rapid.Float64Range(0, 0.999).Draw(r.t, "float") }

func (r rapidRand) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(r.t, "n") }

// Guards against a run that violates an invariant or leaves a call unanswered; rapid shrinks a failing run.
func TestRunsRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Run(rapidRand{t}, 0)
		if len(r.Violations) > 0 || len(r.Failures) > 0 {
			t.Fatalf("violations %v, failures %v", r.Violations, r.Failures)
		}
	})
}
