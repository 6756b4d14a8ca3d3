package ramp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/ramp"
)

const (
	// playTime is how long a domain is played after the server came back, and shortPlay the same where only the refusals count.
	playTime  = 16 * time.Second
	shortPlay = 8 * time.Second
	// manySlots hold the requests that all VMs send to one server by the same report, beside those that it runs; with fewSlots, the
	// other servers refuse some of them. Those refusals vary between runs, so these loads are played more often.
	manySlots = 64
	fewSlots  = 16
	manyRuns  = 20
	fewRuns   = 6
	// startShare, minShare, enoughAnswers, quietTime and maxCaution are those of package ramp.
	startShare    = 1.0 / 8
	minShare      = 1.0 / 16
	enoughAnswers = 4
	quietTime     = time.Second
	maxCaution    = 2
	// slowSpeed and smallRoom are the parts of its speed and of its slots that a server has at first.
	slowSpeed = 1.0 / 6
	smallRoom = 0.1
)

// loads are a server that comes back empty next to three sound ones, which can carry all requests without it, and a plain service
// with a replica that starts beside two.
var loads = []load{
	{name: "sound", servers: 4, slots: manySlots, runs: fewRuns, playTime: playTime},
	{name: "slow for 4 s", servers: 4, slots: manySlots, runs: fewRuns, playTime: playTime, slowFor: 4 * time.Second},
	{name: "small for 3 s", servers: 4, slots: manySlots, runs: fewRuns, playTime: playTime, smallFor: 3 * time.Second},
	{name: "slow for 4 s, few slots", servers: 4, slots: fewSlots, runs: manyRuns, playTime: shortPlay, slowFor: 4 * time.Second},
	{name: "small for 3 s, few slots", servers: 4, slots: fewSlots, runs: manyRuns, playTime: shortPlay, smallFor: 3 * time.Second},
	{name: "plain, sound", servers: 3, slots: manySlots, runs: fewRuns, playTime: playTime, plain: true},
	{name: "plain, slow for 3 s", servers: 3, slots: manySlots, runs: fewRuns, playTime: playTime, plain: true, slowFor: 3 * time.Second},
}

func play(l load, p policy, w wiring) (sum result, vms []*vm) {
	for seed := range uint64(l.runs) {
		d := newDomain(l, p, w, seed)
		d.run()
		sum.late += d.late
		sum.refused += d.refused
		for i, n := range d.given {
			sum.given[i] += n
		}
		vms = append(vms, d.vms...)
	}
	return sum, vms
}

func (r result) String() string {
	return fmt.Sprintf("%4d late, %4d refused, given in each second %v", r.late, r.refused, r.given)
}

// Load: 25 VMs with 75 requests a second in all and a server that comes back empty. Guards against more late answers and refusals
// than without a limit, with and without messages between the VMs, and against a share that stays below 1.
func TestReturnedServer(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			today, _ := play(l, noLimit, bySlots)
			t.Logf("no limit:           %s", today)
			for w, name := range []string{"slots", "draw"} {
				byTimer, _ := play(l, timer, wiring(w))
				t.Logf("timer, %s:       %s", name, byTimer)
				for _, p := range []policy{ramped, alone} {
					got, vms := play(l, p, wiring(w))
					t.Logf("ramp, %s, alone %-5t: %s", name, p == alone, got)
					if n, before := got.late+got.refused, today.late+today.refused; n > 0 && n >= before {
						t.Errorf("%d late answers and refusals, want fewer than %d as without a limit", n, before)
					}
					// All VMs may prefer the server at once, and its share may have grown once.
					if most := int(2 * startShare * requestRate * float64(l.runs)); wiring(w) == byDraw && got.given[0] > most {
						t.Errorf("%d requests in the first second, want at most %d", got.given[0], most)
					}
					for _, v := range vms {
						if share := v.tracker.Share(returned); p == ramped && l.playTime == playTime && share < 1 {
							t.Fatalf("share %v after %v", share, playTime)
						}
					}
				}
			}
		})
	}
}

// Load: as above without the server that comes back. Guards against loads in which the other servers refuse requests themselves, so
// that the comparison would not show what the returned server does.
func TestOthersCarryTheLoad(t *testing.T) {
	for _, l := range loads {
		if l.slowFor+l.smallFor > 0 {
			continue
		}
		if got, _ := play(l, absent, bySlots); got.late+got.refused > 0 {
			t.Errorf("%s: %s without the server", l.name, got)
		}
	}
}

// reachBound returns the time in which a server that is sound reaches its full share, from the answers that it gets. At a share s,
// it gets s times an equal part of the requests. A window takes the time of enoughAnswers of them, or quietTime if they are fewer,
// both times caution, and an answer; then the counts go to the observing VM, and the share comes back. The last reports may still show
// the server empty.
func reachBound(servers int, share, caution float64) time.Duration {
	equal := requestRate / float64(servers)
	bound := reportPeriod + reportDelay
	for ; share < 1; share *= 2 {
		window := min(enoughAnswers/(share*equal), quietTime.Seconds()) * caution
		bound += time.Duration(window*float64(time.Second)) + usualAnswer*3/2 + 2*(countPeriod+messageDelay)
		caution = 1
	}
	return bound
}

// Load: as above with a server that is sound at once or after a time. Guards against a server that is left idle although its answers
// are on time.
func TestSoundServerReachesItsPart(t *testing.T) {
	for _, l := range loads {
		bound := reachBound(l.servers, startShare, 1)
		if l.slowFor+l.smallFor > 0 {
			// Answers that began at the slow speed may end late for some time.
			bound = l.slowFor + l.smallFor + usualAnswer*3/2 + reachBound(l.servers, minShare, maxCaution)
		}
		if l.slots == fewSlots || l.plain && l.slowFor > 0 {
			// With few slots, pauses after refusals keep requests away as well; package pick avoids a replica for its earlier latency.
			continue
		}
		want := 0.8 * requestRate * float64(l.runs) / float64(l.servers)
		for _, w := range []wiring{bySlots, byDraw} {
			got, _ := play(l, ramped, w)
			reached := int((l.slowFor + l.smallFor) / time.Second)
			for reached < len(got.given) && float64(got.given[reached]) < want {
				reached++
			}
			t.Logf("%s: 0.8 of an equal part in second %d, bound %v", l.name, reached+1, bound)
			if time.Duration(reached+1)*time.Second > bound {
				t.Errorf("%s: 0.8 of an equal part within %d s, want %v; requests per second %v", l.name, reached+1, bound, got.given)
			}
		}
	}
}

// Load: a server without any traffic. Guards against waiting for answers that cannot come.
func TestIdleServerReachesItsShare(t *testing.T) {
	var k ramp.Tracker
	start := time.Unix(1000, 0)
	k.Update(start, ramp.Started{Server: returned, Incarnation: 1, Reason: ramp.ReasonRecovered})
	for at := start; at.Before(start.Add(6 * time.Second)); at = at.Add(reportPeriod) {
		k.Update(at.Add(reportDelay), ramp.Reported{Server: returned, Incarnation: 1, Slots: 32, Pace: 1, At: at})
	}
	if share := k.Share(returned); share < 1 {
		t.Errorf("share %v after 6 s of idle reports", share)
	}
}
