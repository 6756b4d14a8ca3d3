package ramp

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
)

type trackerScript struct {
	tracker Tracker
	start   time.Time
}

// Guards against a share that grows without answers or a calm report, that falls for answers to requests sent at a larger share, that a
// message about another run of the server changes, and against counts that are returned twice.
func TestTrackerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/tracker", func(t *testing.T, path string) {
		s := &trackerScript{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *trackerScript) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "new" {
		s.tracker = Tracker{VM: "vm1"}
	}
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		at, err := time.ParseDuration(f[0])
		if err != nil {
			t.Fatal(err)
		}
		if f[1] == "counts" {
			fmt.Fprintf(&out, "%s: %+v\n", f[0], s.tracker.Counts())
			continue
		}
		times := 1
		if last := f[len(f)-1]; strings.HasPrefix(last, "x") {
			times, f = int(number(t, last[1:])), f[:len(f)-1]
		}
		now := s.start.Add(at)
		for range times {
			for _, c := range s.tracker.Update(now, message(t, now, f[1:])) {
				switch c := c.(type) {
				case SetShare:
					fmt.Fprintf(&out, "%s: share of %s %.3f\n", f[0], c.Server, c.Share)
				case LogChange:
					fmt.Fprintf(&out, "%s: log %s %.3f: %s\n", f[0], c.Server, c.Share, c.Reason)
				}
			}
		}
	}
	return out.String()
}

// message parses "started SERVER INCARNATION REASON", "answered SERVER INCARNATION TOOK EXPECTED", "refused SERVER INCARNATION",
// "reported SERVER INCARNATION RUNNING WAITING SLOTS PACE AGE", "samples VM SERVER INCARNATION ONTIME LATE REFUSED SHARE",
// "shared SERVER INCARNATION SHARE AGE", "gone SERVER" or "tick".
func message(t *testing.T, now time.Time, f []string) teaselstream.Msg {
	name, vm := f[0], ""
	switch name {
	case "tick":
		return teaselstream.Tick{}
	case "gone":
		return Gone{Server: teaselstream.ServerID(f[1])}
	case "samples":
		vm, f = f[1], f[1:]
	}
	id, n := teaselstream.ServerID(f[1]), teaselstream.Incarnation(number(t, f[2]))
	f = f[3:]
	switch name {
	case "started":
		return Started{id, n, strings.Join(f, " ")}
	case "answered":
		return Answered{id, n, duration(t, f[0]), duration(t, f[1])}
	case "refused":
		return Refused{id, n}
	case "reported":
		return Reported{id, n, int(number(t, f[0])), int(number(t, f[1])), int(number(t, f[2])), number(t, f[3]), now.Add(-duration(t, f[4]))}
	case "samples":
		x := Sample{id, n, int(number(t, f[0])), int(number(t, f[1])), int(number(t, f[2])), number(t, f[3])}
		return Samples{From: teaselstream.VMID(vm), Counts: []Sample{x}}
	case "shared":
		return Shared{id, n, number(t, f[0]), now.Add(-duration(t, f[1]))}
	}
	t.Fatalf("unknown message %s", name)
	return nil
}

func number(t *testing.T, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against counts that another build cannot read, and against messages or state that grow with the fleet.
func TestStateIsBoundedAndCountsEncode(t *testing.T) {
	var k Tracker
	now := time.Unix(1000, 0)
	for i := range 3 * maxSamples {
		id := teaselstream.ServerID(fmt.Sprintf("s%03d", i))
		k.Update(now, Started{id, 1, ReasonStarted})
		k.Update(now, Answered{id, 1, 0, time.Second})
	}
	seen := map[teaselstream.ServerID]bool{}
	for range 3 {
		counts := k.Counts()
		data, err := cbor.Marshal(counts)
		if err != nil {
			t.Fatal(err)
		}
		var decoded []map[string]any
		if err := cbor.Unmarshal(data, &decoded); err != nil || len(decoded) > maxSamples || len(data) > 8<<10 {
			t.Fatalf("%d counts in %d bytes, %v", len(decoded), len(data), err)
		}
		for _, x := range decoded {
			if x["OnTime"] == uint64(1) {
				seen[teaselstream.ServerID(x["Server"].(string))] = true
			}
		}
		// Servers that answer again do not keep the others from being returned.
		for _, x := range counts {
			k.Update(now, Answered{x.Server, 1, 0, time.Second})
		}
	}
	if len(seen) != 3*maxSamples {
		t.Errorf("counts of %d servers were returned, want those of all", len(seen))
	}
	for i := range 2 * maxServers {
		k.Update(now, Started{teaselstream.ServerID(strconv.Itoa(i)), 1, ReasonStarted})
	}
	if len(k.servers) > maxServers {
		t.Errorf("state of %d servers, want at most %d", len(k.servers), maxServers)
	}
}

// Guards against shares outside (0, 1], state that grows without bound, and odd messages that change a share.
func TestRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k, same Tracker
		now := time.Unix(1000, 0)
		shares, incarnations := map[teaselstream.ServerID]float64{}, map[teaselstream.ServerID]teaselstream.Incarnation{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait")))
			m, odd := randomMessage(t, now)
			before := dump(&k)
			cmds := k.Update(now, m)
			if text := fmt.Sprint(same.Update(now, m)); text != fmt.Sprint(cmds) {
				t.Fatalf("two trackers answer %+v with %v and %s", m, cmds, text)
			}
			if after := dump(&k); odd && (len(cmds) > 0 || after != before) {
				t.Fatalf("odd message %+v causes %v and changes\n%s to\n%s", m, cmds, before, after)
			}
			if x, ok := m.(Started); ok && k.servers[x.Server] != nil && k.servers[x.Server].incarnation < incarnations[x.Server] {
				t.Fatalf("%+v replaces a newer run", m)
			}
			clear(incarnations)
			for id, s := range k.servers {
				incarnations[id] = s.incarnation
			}
			for _, c := range cmds {
				if c, ok := c.(SetShare); ok {
					if !(c.Share >= minShare && c.Share <= 1) {
						t.Fatalf("share %v after %+v", c.Share, m)
					}
					shares[c.Server] = c.Share
				}
			}
			for id, share := range shares {
				if k.Share(id) != share {
					t.Fatalf("Share(%s) = %v after SetShare of %v", id, k.Share(id), share)
				}
			}
			if len(k.servers) > 3 {
				t.Fatalf("state of %d servers", len(k.servers))
			}
		}
	})
}

// dump returns the whole state as text.
func dump(t *Tracker) string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		fmt.Fprintf(&out, "%s: %+v\n", id, *t.servers[id])
	}
	return out.String()
}

// randomMessage draws a message; odd says that it must change nothing.
func randomMessage(t *rapid.T, now time.Time) (m teaselstream.Msg, odd bool) {
	id := teaselstream.ServerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"))
	n := teaselstream.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	took := time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
	count := rapid.IntRange(0, 5)
	at := now.Add(-took)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return Started{id, n, rapid.SampledFrom([]string{ReasonStarted, ReasonRecovered, ReasonNewLayers}).Draw(t, "reason")}, false
	case 1, 2:
		return Answered{id, n, took, 500 * time.Millisecond}, false
	case 3:
		return Refused{id, n}, false
	case 4:
		pace := rapid.SampledFrom([]float64{0, 1, 1.5, 6, 1e300}).Draw(t, "pace")
		return Reported{id, n, count.Draw(t, "running"), count.Draw(t, "waiting"), 16, pace, at}, false
	case 5:
		share := rapid.SampledFrom([]float64{0, minShare, startShare, 0.5}).Draw(t, "share")
		x := Sample{id, n, count.Draw(t, "on time"), count.Draw(t, "late"), count.Draw(t, "refused"), share}
		return Samples{From: "other", Counts: []Sample{x}}, false
	case 6:
		return Shared{id, n, rapid.SampledFrom([]float64{minShare, 0.3, 1}).Draw(t, "share"), at}, false
	case 7:
		return Gone{id}, false
	case 8:
		return rapid.SampledFrom(oddMessages(id, n, now)).Draw(t, "odd"), true
	}
	return teaselstream.Tick{}, false
}

func oddMessages(id teaselstream.ServerID, n teaselstream.Incarnation, now time.Time) []teaselstream.Msg {
	sample := func(x Sample) Samples { return Samples{From: "other", Counts: []Sample{x}} }
	return []teaselstream.Msg{
		nil, "text", Started{"", 1, ReasonStarted}, Started{id, n, "odd"}, Gone{"unknown"},
		Answered{id, n, -1, time.Second}, Answered{id, n, math.MaxInt64, 1}, Answered{id, n, 1, 0}, Answered{"unknown", n, 1, 1},
		Answered{id, 0, time.Minute, 1}, Refused{id, 0}, Refused{"unknown", n}, Reported{id, 0, 0, 9, 1, 9, now},
		Reported{id, n, 0, 9, 1, math.NaN(), now}, Reported{id, n, 0, 9, 1, math.Inf(1), now}, Reported{id, n, 0, 9, 1, -1, now},
		Reported{id, n, -1, 9, 1, 9, now}, Reported{id, n, 0, math.MaxInt, 1, 9, now}, Reported{id, n, 0, 9, 1, 9, now.Add(time.Hour)},
		Reported{Server: id, Incarnation: n, Waiting: 9, Pace: 9}, sample(Sample{id, n, -9, 9, 9, 0}), sample(Sample{id, n, 0, math.MaxInt, 0, 0}),
		sample(Sample{id, n, 0, 9, 9, math.NaN()}), sample(Sample{id, n, 0, 9, 9, 2}), sample(Sample{id, 0, 0, 9, 9, 0}),
		Samples{Counts: []Sample{{id, n, 0, 9, 9, 0}}}, Samples{From: "other", Counts: slices.Repeat([]Sample{{id, n, 0, 9, 9, 0}}, maxSamples+1)},
		Shared{id, n, 0, now}, Shared{id, n, math.NaN(), now}, Shared{id, n, -1, now}, Shared{id, n, 2, now},
		Shared{id, n, 1, now.Add(-time.Hour)}, Shared{id, n, 1, now.Add(time.Hour)}, Shared{id, 0, 1, now},
	}
}
