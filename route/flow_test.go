package route

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a flow below the maximum: it must equal the smallest cut, which the test finds by trying all cuts.
func TestFlowEqualsSmallestCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "nodes")
		f, capacity := &flowNetwork{}, map[[2]int]float64{}
		for i := range n {
			f.id(i)
		}
		for range rapid.IntRange(0, 20).Draw(t, "edges") {
			a, b := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
			x := float64(rapid.IntRange(0, 9).Draw(t, "capacity"))
			if a != b {
				f.addArc(a, b, x)
				capacity[[2]int{a, b}] += x
			}
		}
		smallest := math.Inf(1)
		for set := range 1 << n {
			if set&1 == 0 || set&(1<<(n-1)) != 0 {
				continue
			}
			cut := 0.0
			for e, x := range capacity {
				if set&(1<<e[0]) != 0 && set&(1<<e[1]) == 0 {
					cut += x
				}
			}
			smallest = min(smallest, cut)
		}
		if got := f.maxFlow(0, n-1); math.Abs(got-smallest) > 1e-6 {
			t.Fatalf("flow %v, smallest cut %v", got, smallest)
		}
	})
}
