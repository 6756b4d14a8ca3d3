package fleet

import (
	"math/rand/v2"

	"github.com/teaselstream/teaselstream/invar"
)

// RunsToFind makes randomised runs with an injected fault until an invariant is violated, at most limit runs. It
// returns the number of runs and whether a violation was found.
func RunsToFind(x invar.Faults, seed uint64, limit int) (int, bool) {
	for n := range limit {
		if r := Run(rand.New(rand.NewPCG(seed+uint64(n), 0)), x); len(r.Violations) > 0 {
			return n + 1, true
		}
	}
	return limit, false
}
