package moves

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	slowRanges   = 4
	slowHolders  = 6
	slowFactor   = 12.0
	slowTime     = 9 * time.Second
	slowNoticed  = 500 * time.Millisecond
	slowStep     = 10 * time.Millisecond
	slowReadRate = 12_000.0
	// slowArrivals is the number of new streams a second, whose prompts use about a third of the read rate.
	slowArrivals = 25
	slowSeeds    = 10
	// slowObjective is the objective of new streams for the first event.
	slowObjective = 500 * time.Millisecond
)

type (
	// slowFleet runs streams over four layer ranges with six servers each, of which the first is slow.
	slowFleet struct {
		*vtime.Queue
		*rand.Rand
		free   [slowRanges][slowHolders]time.Time
		result result
		// running counts only the streams on slow servers.
		running result
		// answer decides on a stream on slow servers; nil keeps all.
		answer func(x *slowStream) teaselstream.Cmd
	}

	slowStream struct {
		*loadStream
		path      [slowRanges]int
		last      time.Time
		pause     time.Duration
		turn      int
		onTime    bool
		wasOnSlow bool
	}
)

func (f *slowFleet) slow(now time.Time) bool { return now.Before(loadStart.Add(slowTime)) }

// pace returns the mean time between events on a path: reading halves the speed of a server.
func (f *slowFleet) pace(x *slowStream) (sum time.Duration) {
	for i, holder := range x.path {
		step := slowStep
		if holder == 0 && f.slow(f.Now()) {
			step = time.Duration(slowFactor * float64(slowStep))
		}
		if f.free[i][holder].After(f.Now()) {
			step *= 2
		}
		sum += step
	}
	return sum
}

// read lets the servers of a path that are marked read all tokens of a stream and returns when the last one has.
func (f *slowFleet) read(x *slowStream, marked func(i int) bool) time.Time {
	done := f.Now()
	for i, holder := range x.path {
		if !marked(i) {
			continue
		}
		free := &f.free[i][holder]
		if free.Before(f.Now()) {
			*free = f.Now()
		}
		*free = free.Add(seconds(float64(x.tokens) / slowReadRate))
		if free.After(done) {
			done = *free
		}
	}
	return done
}

// next schedules the next event of a stream, at the earliest at a given time.
func (f *slowFleet) next(x *slowStream, ready time.Time) {
	x.turn++
	turn := x.turn
	wait := time.Duration(float64(f.pace(x)) * (0.75 + 0.25*f.ExpFloat64()))
	f.After(ready.Sub(f.Now())+wait, func() { f.event(x, turn) })
}

func (f *slowFleet) event(x *slowStream, turn int) {
	if x.turn != turn {
		return
	}
	x.pause = max(x.pause, f.Now().Sub(x.last))
	x.last = f.Now()
	x.left--
	x.tokens++
	if x.left > 0 {
		f.next(x, f.Now())
		return
	}
	x.turn++
	inTime := x.onTime && x.pause <= loadGap
	f.result.add(x.rank, x.pause, inTime)
	if x.wasOnSlow {
		f.running.add(x.rank, x.pause, inTime)
	}
}

// ask asks for a stream on slow servers until it moves or ends.
func (f *slowFleet) ask(x *slowStream) {
	if x.left <= 0 || !f.slow(f.Now()) || f.answer == nil {
		return
	}
	switch c := f.answer(x).(type) {
	case Move:
		x.move(f)
	case Stay:
		f.After(c.Until.Sub(f.Now()), func() { f.ask(x) })
	}
}

// move replaces the slow servers of a path, whose successors read all tokens.
func (x *slowStream) move(f *slowFleet) {
	old := x.path
	for i := range x.path {
		if x.path[i] == 0 {
			x.path[i] = 1 + f.IntN(slowHolders-1)
		}
	}
	f.next(x, f.read(x, func(i int) bool { return old[i] == 0 }))
}

// begin starts a stream whose prompt its servers read first.
func (f *slowFleet) begin(x *slowStream) {
	for i := range x.path {
		x.path[i] = 1 + f.IntN(slowHolders-1)
	}
	done := f.read(x, func(int) bool { return true })
	x.onTime, x.last = done.Sub(f.Now()) <= slowObjective, done
	f.next(x, done)
}

// play runs one policy; prepare gets the streams on slow servers and returns the answers to their questions.
func play(seed uint64, prepare func(on []*slowStream) func(now time.Time, x *slowStream) teaselstream.Cmd) *slowFleet {
	r := rand.New(rand.NewPCG(seed, 2))
	f := &slowFleet{Queue: vtime.NewQueue(loadStart), Rand: rand.New(rand.NewPCG(seed, 3))}
	var on []*slowStream
	for _, y := range newStreams(r, loadStreams) {
		x := &slowStream{loadStream: y, last: loadStart, onTime: true}
		for i := range x.path {
			x.path[i] = r.IntN(slowHolders)
			x.wasOnSlow = x.wasOnSlow || x.path[i] == 0
		}
		if x.wasOnSlow {
			on = append(on, x)
		}
		f.next(x, loadStart)
	}
	for i, y := range newStreams(r, slowArrivals*9) {
		y.id += "new"
		f.After(time.Duration(i)*time.Second/slowArrivals+1, func() { f.begin(&slowStream{loadStream: y}) })
	}
	f.After(slowNoticed, func() {
		if answer := prepare(on); answer != nil {
			f.answer = func(x *slowStream) teaselstream.Cmd { return answer(f.Now(), x) }
		}
		for _, x := range on {
			f.ask(x)
		}
	})
	f.RunUntil(loadStart.Add(time.Minute))
	return f
}

// schedulers gives each VM a Scheduler, which hears of the slow servers with totals that are off by up to a fifth.
func schedulers(on []*slowStream) func(now time.Time, x *slowStream) teaselstream.Cmd {
	all, r := make([]Scheduler, loadVMs), rand.New(rand.NewPCG(uint64(len(on)), 4))
	for i := range slowRanges {
		var there []*loadStream
		for _, x := range on {
			if x.left > 0 && x.path[i] == 0 {
				there = append(there, x.loadStream)
			}
		}
		tokens, streams := totals(there)
		for j := range all {
			m := Slowed{Server: serverOf(i), Factor: slowFactor, VMs: loadVMs, Holders: slowHolders - 1, ReadRate: (slowHolders - 1) * slowReadRate}
			m.Ahead, m.Streams = roughly(r, tokens), roughly(r, streams)
			all[j].Update(loadStart.Add(slowNoticed), m)
		}
	}
	return func(now time.Time, x *slowStream) teaselstream.Cmd {
		a := AskSlow{
			Request: x.id, Rank: x.rank, Tokens: x.tokens, Left: x.left, Gap: loadGap, Pause: x.pause, NormalPace: slowRanges * slowStep,
			ReadTime: seconds(float64(x.tokens) / slowReadRate), Pace: x.slowPace(),
		}
		a.Server = serverOf(slices.Index(x.path[:], 0))
		return all[x.vm].Update(now, a)[0]
	}
}

// slowPace returns the mean time between the events of a stream while its slow servers are slow.
func (x *slowStream) slowPace() (sum time.Duration) {
	for _, holder := range x.path {
		sum += slowStep
		if holder == 0 {
			sum += time.Duration((slowFactor - 1) * float64(slowStep))
		}
	}
	return sum
}

// exactOrder moves the streams that are not late yet in the order of their ranks and tokens, each when the one before has been read in
// a quarter of the time of its new holders, and then those that still save time by it.
func exactOrder(on []*slowStream) func(now time.Time, x *slowStream) teaselstream.Cmd {
	sorted, turns, free := slices.Clone(on), map[*slowStream]time.Time{}, [slowRanges]float64{}
	late := func(x *slowStream) int { return min(int(x.pause/loadGap), 1) }
	slices.SortStableFunc(sorted, func(a, b *slowStream) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.rank, b.rank), cmp.Compare(a.tokens, b.tokens))
	})
	for _, x := range sorted {
		reading, turn := float64(x.tokens)/slowReadRate, 0.0
		if seconds(reading)*minReturn > time.Duration(x.left)*(x.slowPace()-slowRanges*slowStep) {
			continue
		}
		for i := range x.path {
			if x.path[i] == 0 {
				turn = max(turn, free[i])
				free[i] = turn + reading/slowShare/(slowHolders-1)
			}
		}
		turns[x] = loadStart.Add(slowNoticed + seconds(turn))
	}
	return func(now time.Time, x *slowStream) teaselstream.Cmd {
		switch turn, moves := turns[x]; {
		case !moves:
			return Stay{Until: now.Add(time.Hour)}
		case turn.After(now):
			return Stay{Until: turn}
		}
		return Move{}
	}
}

func serverOf(layers int) teaselstream.ServerID {
	return teaselstream.ServerID(fmt.Sprint("slow", layers))
}

// Load: four of 24 servers run at a twelfth of their speed for 9 s with about half of 100 streams on them, while 25 new streams begin each
// second. Guards against streams that stay on slow servers until each of them is late, and against moves whose reading makes new streams
// late.
func TestSlowServers(t *testing.T) {
	keep := func([]*slowStream) func(time.Time, *slowStream) teaselstream.Cmd { return nil }
	atOnce := func([]*slowStream) func(time.Time, *slowStream) teaselstream.Cmd {
		return func(now time.Time, x *slowStream) teaselstream.Cmd { return Move{Request: x.id, At: now} }
	}
	names := []string{"all stay", "all at once", "schedulers", "one VM knows all"}
	var all, running [4]result
	for i, prepare := range []func(on []*slowStream) func(time.Time, *slowStream) teaselstream.Cmd{keep, atOnce, schedulers, exactOrder} {
		for seed := range uint64(slowSeeds) {
			f := play(seed, prepare)
			all[i].sum(f.result)
			running[i].sum(f.running)
		}
		t.Logf("%s\nall streams %v\non slow ones%v", names[i], all[i], running[i])
	}
	compare(t, "schedulers", all[2], all[0], all[1])
	compare(t, "schedulers", all[2], all[0], all[0])
}

// sum adds the streams of another play.
func (s *result) sum(o result) {
	for r := range s.streams {
		s.streams[r] += o.streams[r]
		s.inTime[r] += o.inTime[r]
		s.gone[r] += o.gone[r]
	}
	s.worth += o.worth
}
