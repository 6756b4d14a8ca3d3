package drain

import (
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against requests that a stopping VM takes although they outlast it, and against refusals of those that end in time.
func TestTakes(t *testing.T) {
	const ms = time.Millisecond
	for _, x := range []struct {
		name string
		left time.Duration
		work Work
		want bool
	}{
		{"ends in time", 5100 * ms, Work{Limit: 20000 * ms, Mean: 2000 * ms, Deviation: 1000 * ms}, true},
		{"once, may last longer", 3900 * ms, Work{Limit: 20000 * ms, Mean: 2000 * ms, Deviation: 1000 * ms}, false},
		{"repeatable, probably ends", 2100 * ms, Work{Repeatable: true, Limit: 20000 * ms, Mean: 2000 * ms, Deviation: 1000 * ms}, true},
		{"repeatable, probably does not end", 1900 * ms, Work{Repeatable: true, Limit: 20000 * ms, Mean: 2000 * ms}, false},
		{"final answer due in time", 1100 * ms, Work{Limit: 1000 * ms, Mean: 2000 * ms, Deviation: 1000 * ms}, true},
		{"no time left", 0, Work{Repeatable: true}, false},
		{"past the last answers", -100 * ms, Work{Limit: -200 * ms}, false},
	} {
		if got := Takes(x.left, x.work); got != x.want {
			t.Errorf("%s: got %t, want %t", x.name, got, x.want)
		}
	}
}

// Guards against a stop that ends requests twice, late, or although none is left.
func TestEndRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, x := range []struct {
		name string
		// idleAt is when the last request ends, and wantAt when the rest is ended, both since the start; 0 means never.
		idleAt, wantAt time.Duration
		answerTime     time.Duration
	}{
		{"requests that last", 0, 7 * time.Second, time.Second},
		{"requests that end", 4 * time.Second, 0, time.Second},
		{"no answer time", 0, 0, 0},
	} {
		d := New(Config{Delay: 2 * time.Second, Timeout: 8 * time.Second, AnswerTime: x.answerTime})
		if !d.LastAnswer().IsZero() {
			t.Errorf("%s: a running VM has a time of last answers", x.name)
		}
		d.Update(start, Stop{})
		var ended []time.Duration
		exits := false
		for since := time.Duration(0); since < 10*time.Second && !exits; since += 50 * time.Millisecond {
			now := start.Add(since)
			cmds := d.Update(now, teaselstream.Tick{})
			if slices.Contains(cmds, teaselstream.Cmd(EndRequests{})) {
				ended = append(ended, since)
			}
			n := InFlight{Calls: 1}
			if x.idleAt > 0 && since >= x.idleAt {
				n.Calls = 0
			}
			exits = slices.Contains(append(cmds, d.Update(now, n)...), teaselstream.Cmd(Exit{}))
		}
		var want []time.Duration
		if x.wantAt > 0 {
			want = []time.Duration{x.wantAt}
		}
		if !slices.Equal(ended, want) || !exits {
			t.Errorf("%s: requests ended at %v, want %v; exits %t", x.name, ended, want, exits)
		}
	}
}
