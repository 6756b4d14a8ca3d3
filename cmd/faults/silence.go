package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// overlapStream separates the random numbers of overlapping silences from those of the other phases, so that they change no plan.
	overlapStream = 2 << 32
	// overlapRounds is the number of times that groups of replicas fall silent one after the other; overlapPause goes before each.
	overlapRounds = 4
	overlapPause  = 500 * time.Millisecond
	// minOffset and maxOffset bound the time between the beginnings of two silences, so that the second begins while the first lasts
	// or just after it.
	minOffset = 200 * time.Millisecond
	maxOffset = 1300 * time.Millisecond
	// minOverlap and maxOverlap bound a silence that others overlap; a second or so.
	minOverlap = 800 * time.Millisecond
	maxOverlap = 1400 * time.Millisecond
	// moreReplicas is the number of replicas of the model that start before these rounds, because only two of modelCount replicas can be
	// the first of a path, and a request that is counted runs on three of them.
	moreReplicas = 12
	// minFirsts replicas hold the first layers then, in time for placeTimeout. Groups of groupSize of them that have none in common fall
	// silent, and two groups leave others that a stream could run on.
	minFirsts    = 6
	groupSize    = 2
	placeTimeout = 5 * time.Second
	// streamersPerVM callers send only streams of minMetStream to maxMetStream events, 1.5 to 3 s, so that many streams meet two
	// silences and still end within callerWait.
	streamersPerVM = 15
	minMetStream   = 100
	maxMetStream   = 200
	// maxOverLimit is the number of requests that may run on more replicas than their route's MaxAttempts (BUDGET).
	maxOverLimit = 3
)

// silence is a group of replicas that fall silent together, some time after the beginning of a round.
type silence struct {
	names         []string
	offset, lasts time.Duration
}

// String returns the plan of a silence.
func (s silence) String() string {
	return fmt.Sprintf("%v from %s for %s", s.names, s.offset.Round(time.Millisecond), s.lasts.Round(time.Millisecond))
}

// drawSilences returns two or three silences of different replicas that overlap or follow closely. The replicas are those that can be
// the first of a path, sorted by name.
func drawSilences(r *rand.Rand, firsts []string) []silence {
	all := make([]silence, 2+r.IntN(2))
	var offset time.Duration
	order := r.Perm(len(firsts))
	for i := range all {
		n := min(groupSize, len(order)-1)
		for _, k := range order[:n] {
			all[i].names = append(all[i].names, firsts[k])
		}
		order = order[n:]
		all[i].offset = offset
		// Of two draws the longer one, because long silences are more easily taken for the end of a replica.
		all[i].lasts = max(randomDuration(r, minOverlap, maxOverlap), randomDuration(r, minOverlap, maxOverlap))
		offset += randomDuration(r, minOffset, maxOffset)
	}
	for i := range plainCount {
		if k := r.IntN(len(all) + 1); k < len(all) {
			all[k].names = append(all[k].names, fmt.Sprintf("m%d", modelCount+i))
		}
	}
	return all
}

// firsts returns the names of the replicas that can be the first of a path, sorted.
func (w *testRun) firsts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, x := range w.replicas {
		if from, to := x.HeldLayers(); from == 0 && to > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// addReplicas starts moreReplicas replicas and waits until minFirsts can be the first of a path.
func (w *testRun) addReplicas() error {
	for i := range moreReplicas {
		if err := w.startReplica("m"+string(rune('a'+i)), 0); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(placeTimeout); len(w.firsts()) < minFirsts; time.Sleep(refusedWait) {
		if time.Now().After(limit) {
			return fmt.Errorf("%v can be the first of a path %s after more replicas started, want %d", w.firsts(), placeTimeout, minFirsts)
		}
	}
	return nil
}

// overlapSilences lets groups of replicas fall silent while others still are or have just gone on, beside callers of long streams. It
// returns when all replicas have gone on and these streams have ended.
func (w *testRun) overlapSilences(seed uint64, o options) error {
	if err := w.addReplicas(); err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(seed, overlapStream))
	stop := make(chan struct{})
	var streams sync.WaitGroup
	for _, v := range w.vms {
		for range streamersPerVM {
			own := rand.New(rand.NewPCG(seed, r.Uint64()))
			streams.Go(func() { w.callers.runStreams(v, own, stop) })
		}
	}
	for range overlapRounds {
		time.Sleep(overlapPause)
		silences := drawSilences(r, w.firsts())
		if o.Verbose {
			fmt.Printf("%s replicas silent: %v\n", time.Now().UTC().Format("15:04:05.000"), silences)
		}
		var round sync.WaitGroup
		for _, s := range silences {
			round.Go(func() {
				time.Sleep(s.offset)
				w.setLinks(s.names, modeHold)
				time.Sleep(s.lasts)
				w.setLinks(s.names, modePass)
			})
		}
		round.Wait()
	}
	close(stop)
	streams.Wait()
	return nil
}

func (w *testRun) setLinks(names []string, m mode) {
	for _, n := range names {
		w.link(n).set(m)
	}
}

// runStreams requests long streams from one VM until stop is closed.
func (c *callers) runStreams(v *vm, r *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !c.stream(transport, v, minMetStream+r.IntN(maxMetStream-minMetStream)) {
			time.Sleep(refusedWait)
		}
	}
}

// maxAttempts returns the MaxAttempts of the route of a path; see plat.Fleet.Config.
func maxAttempts(path string) int {
	if strings.HasPrefix(path, "/order/") {
		return 1
	}
	return 2
}

// checkRanOn records a violation if more than maxOverLimit requests of a phase, in which no replica ended or was cut off, ran on more
// replicas than their routes allow. ranOn holds the number of replicas by attempt id.
func (c *callers) checkRanOn(ranOn map[string]int, began time.Time) {
	var over []string
	for attempt, n := range ranOn {
		s, ok := c.sentAs(attempt)
		// An earlier request may have lost replicas to the faults before the phase, which do not count.
		if !ok || s.at.Before(began) {
			continue
		}
		if n > 1 {
			c.count("request on several replicas")
		}
		if n > maxAttempts(s.path) {
			c.count("request on too many replicas")
			over = append(over, fmt.Sprintf("%s on %d", attempt, n))
		}
	}
	slices.Sort(over)
	if len(over) > maxOverLimit {
		c.recordViolation("%d requests ran on more replicas than MaxAttempts while replicas were silent: %v", len(over), over)
	}
}

func (c *callers) sentAs(attempt string) (sentRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.sent[attempt]
	return s, ok
}
