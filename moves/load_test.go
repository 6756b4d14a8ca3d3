package moves

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	loadVMs     = 25
	loadStreams = 100
	loadGap     = 250 * time.Millisecond
	loadSeeds   = 40
)

type (
	// loadStream is a running stream; times are relative to the loss.
	loadStream struct {
		id     teaselstream.AttemptID
		vm     int
		rank   int
		tokens int
		left   int
		silent time.Duration
		sentAt time.Duration
	}

	// result sums up the streams of one policy by rank.
	result struct {
		streams, inTime, gone [3]int
		worth                 float64
	}
)

var (
	loadStart = time.Unix(1000, 0)
	// worthOf and lateWorth are the worth of a stream by rank that is on time, and the part of it that a late one earns.
	worthOf   = [3]float64{2.8, 1.4, 0.78}
	lateWorth = [3]float64{0.1, 0.25, 0.37}
)

func newStreams(r *rand.Rand, n int) []*loadStream {
	all := make([]*loadStream, n)
	for i := range all {
		all[i] = &loadStream{
			id: teaselstream.AttemptID(fmt.Sprint(i)), vm: i % loadVMs, rank: r.IntN(3),
			tokens: int(min(20+780*r.ExpFloat64(), 2300)), left: int(1 + 60*r.ExpFloat64()),
			silent: time.Duration(r.Float64() * float64(100*time.Millisecond)),
		}
	}
	return all
}

// totals returns tokens and streams by rank.
func totals(all []*loadStream) (tokens, streams map[int]int64) {
	tokens, streams = map[int]int64{}, map[int]int64{}
	for _, x := range all {
		tokens[x.rank] += int64(x.tokens)
		streams[x.rank]++
	}
	return tokens, streams
}

// roughly returns totals that are off by up to a fifth, as reports of a changing domain are.
func roughly(r *rand.Rand, exact map[int]int64) map[int]int64 {
	out := map[int]int64{}
	for rank := range 3 {
		out[rank] = int64(float64(exact[rank]) * (0.8 + 0.4*r.Float64()))
	}
	return out
}

func (s *result) add(rank int, pause time.Duration, inTime bool) {
	s.streams[rank]++
	switch {
	case pause > defaultPatience:
		s.gone[rank]++
	case inTime:
		s.inTime[rank]++
		s.worth += worthOf[rank]
	default:
		s.worth += worthOf[rank] * lateWorth[rank]
	}
}

func (s result) String() string {
	line := ""
	for r := range s.streams {
		line += fmt.Sprintf(" rank %d: %3.0f%% of %d, %d gone;", r, 100*float64(s.inTime[r])/float64(max(s.streams[r], 1)), s.streams[r], s.gone[r])
	}
	return fmt.Sprintf("%s worth %.1f", line, s.worth)
}

// read lets the holders of four layer ranges read the streams in the order in which they were sent; an event follows when the slowest
// range has read all tokens.
func (s *result) read(all []*loadStream, rates []float64) {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b *loadStream) int { return cmp.Compare(a.sentAt, b.sentAt) })
	free := make([]time.Duration, len(rates))
	for _, x := range all {
		done := time.Duration(0)
		for i, rate := range rates {
			free[i] = max(free[i], x.sentAt) + seconds(float64(x.tokens)/rate)
			done = max(done, free[i])
		}
		s.add(x.rank, x.silent+done, x.silent+done <= loadGap)
	}
}

// schedule lets the Scheduler of each VM answer its streams, which notice the loss within 20 ms of each other.
func schedule(t *testing.T, r *rand.Rand, all []*loadStream, rate float64, known bool) {
	tokens, streams := totals(all)
	for vm := range loadVMs {
		s, noticed := &Scheduler{}, seconds(0.02*r.Float64())
		m := Lost{Server: "a", VMs: loadVMs, ReadRate: rate}
		if known {
			m.Ahead, m.Streams = roughly(r, tokens), roughly(r, streams)
		}
		s.Update(loadStart.Add(noticed), m)
		var waiting []*loadStream
		for _, x := range all {
			if x.vm == vm {
				waiting = append(waiting, x)
			}
		}
		for at := noticed; len(waiting) > 0; at += gatherTime {
			waiting = slices.DeleteFunc(waiting, func(x *loadStream) bool { return x.ask(t, s, at) })
		}
	}
}

// ask asks for one stream and reports whether it moves.
func (x *loadStream) ask(t *testing.T, s *Scheduler, at time.Duration) bool {
	a := Ask{x.id, "a", x.rank, x.tokens, x.left, x.silent + at, loadGap, defaultPatience}
	switch c := s.Update(loadStart.Add(at), a)[0].(type) {
	case Move:
		x.sentAt = c.At.Sub(loadStart)
		return true
	case Stay:
		return false
	default:
		t.Fatalf("answer %T", c)
		return true
	}
}

// bestOrder sends in the order of one VM that knows all streams and the loss at once.
func bestOrder(all []*loadStream, rate float64) {
	byRank := slices.Clone(all)
	slices.SortStableFunc(byRank, func(a, b *loadStream) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.tokens, b.tokens), cmp.Compare(a.left, b.left))
	})
	var late []*loadStream
	read, turn := 0.0, time.Duration(0)
	for _, x := range byRank {
		if x.silent+seconds((read+float64(x.tokens))/rate) > loadGap {
			late = append(late, x)
			continue
		}
		read += float64(x.tokens)
		turn++
		x.sentAt = turn
	}
	for _, x := range late {
		turn++
		x.sentAt = turn
	}
}

// Load: four servers of a path are lost at once with 100 streams on them, of 25 VMs; the other holders of the slowest range read all
// their tokens in 0.4 to 3.2 s. Guards against moves that are sent all at once, so that short and urgent streams wait behind the others
// and nearly all come late, and against an order that makes callers leave.
func TestLostPath(t *testing.T) {
	for _, rate := range []float64{25_000, 50_000, 100_000, 200_000} {
		rates := []float64{rate, 1.2 * rate, 1.6 * rate, 2.4 * rate}
		var atOnce, ordered, mixed, unknown, best result
		for seed := range uint64(loadSeeds) {
			r := rand.New(rand.NewPCG(seed, 1))
			all := newStreams(r, loadStreams)
			noticed := make([]time.Duration, loadVMs)
			for vm := range noticed {
				noticed[vm] = seconds(0.02 * r.Float64())
			}
			for _, x := range all {
				x.sentAt = noticed[x.vm]
			}
			atOnce.read(all, rates)
			schedule(t, r, all, rate, true)
			ordered.read(all, rates)
			for _, x := range all {
				if x.vm%2 == 0 {
					x.sentAt = noticed[x.vm]
				}
			}
			mixed.read(all, rates)
			schedule(t, r, all, rate, false)
			unknown.read(all, rates)
			bestOrder(all, rate)
			best.read(all, rates)
		}
		t.Logf("%.0f tokens/s\nat once         %v\nschedulers      %v\nhalf old builds %v\nwithout totals  %v\none VM knows all%v", rate, atOnce, ordered, mixed, unknown, best)
		for name, got := range map[string]result{"schedulers": ordered, "half old builds": mixed, "schedulers without totals": unknown} {
			compare(t, name, got, atOnce, atOnce)
		}
	}
}

// compare fails the test unless the most urgent rank is on time more often than today, and if the worth is below that of moving all at
// once.
func compare(t *testing.T, name string, got, today, atOnce result) {
	t.Helper()
	if got.inTime[0] <= today.inTime[0] {
		t.Errorf("%s: %d streams of rank 0 are on time, %d today", name, got.inTime[0], today.inTime[0])
	}
	if got.worth < atOnce.worth {
		t.Errorf("%s: worth %.1f, all at once %.1f", name, got.worth, atOnce.worth)
	}
}
