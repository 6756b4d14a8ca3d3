package route

import "math"

type (
	// flowNetwork is a graph with capacities for Dinic's maximum-flow algorithm.
	// gonum's MaxFlowDinic is not used, because its result depends on map order: on the layout with 7 accelerator kinds
	// it returned 171.0 or 182.5 for the same graph.
	flowNetwork struct {
		ids  map[any]int
		arcs []arc
		// out holds the indices of the arcs that leave each node.
		out [][]int
	}

	// arc is an edge of the residual graph; the arcs at indices 2n and 2n+1 are the reverse of each other.
	arc struct {
		to       int
		capacity float64
	}
)

// minCapacity is the residual capacity, in the unit of the graph, up to which an arc counts as full despite rounding.
const minCapacity = 1e-9

func (f *flowNetwork) id(key any) int {
	if f.ids == nil {
		f.ids = map[any]int{}
	}
	id, ok := f.ids[key]
	if !ok {
		id = len(f.out)
		f.ids[key] = id
		f.out = append(f.out, nil)
	}
	return id
}

func (f *flowNetwork) addArc(a, b int, capacity float64) {
	f.out[a] = append(f.out[a], len(f.arcs))
	f.out[b] = append(f.out[b], len(f.arcs)+1)
	f.arcs = append(f.arcs, arc{to: b, capacity: capacity}, arc{to: a})
}

// maxFlow returns the value of the maximum flow from one node to another.
func (f *flowNetwork) maxFlow(from, to int) float64 {
	total := 0.0
	for {
		level := f.levels(from)
		if level[to] < 0 {
			return total
		}
		next := make([]int, len(f.out))
		for {
			x := f.augment(from, to, math.Inf(1), level, next)
			if x <= minCapacity {
				break
			}
			total += x
		}
	}
}

// levels returns the distance of each node from the start in arcs that are not full, -1 if there is no path.
func (f *flowNetwork) levels(from int) []int {
	level := make([]int, len(f.out))
	for i := range level {
		level[i] = -1
	}
	level[from] = 0
	for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
		for _, e := range f.out[queue[0]] {
			if a := f.arcs[e]; a.capacity > minCapacity && level[a.to] < 0 {
				level[a.to] = level[queue[0]] + 1
				queue = append(queue, a.to)
			}
		}
	}
	return level
}

// augment sends flow along one path whose levels increase by 1, and returns the amount.
func (f *flowNetwork) augment(at, to int, limit float64, level, next []int) float64 {
	if at == to {
		return limit
	}
	for ; next[at] < len(f.out[at]); next[at]++ {
		e := f.out[at][next[at]]
		a := f.arcs[e]
		if a.capacity <= minCapacity || level[a.to] != level[at]+1 {
			continue
		}
		if x := f.augment(a.to, to, min(limit, a.capacity), level, next); x > minCapacity {
			f.arcs[e].capacity -= x
			f.arcs[e^1].capacity += x
			return x
		}
	}
	return 0
}
