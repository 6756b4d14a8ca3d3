package moves

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
)

var (
	oddNumber   = rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 0.5, 2, 12, 50_000, 1e300})
	oddInteger  = rapid.SampledFrom([]int{math.MinInt, -1, 0, 1, 2, 9, 10, 25, 800, 2300, 1 << 40, math.MaxInt})
	oddDuration = rapid.SampledFrom([]time.Duration{
		math.MinInt64, -time.Second, 0, 1, time.Millisecond, 30 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, math.MaxInt64,
	})
)

func drawTotals(t *rapid.T, label string) map[int]int64 {
	if rapid.Bool().Draw(t, label+" unknown") {
		return nil
	}
	out := map[int]int64{}
	for range rapid.IntRange(0, 4).Draw(t, label+" ranks") {
		out[oddInteger.Draw(t, "rank")] = int64(oddInteger.Draw(t, label))
	}
	return out
}

func drawMessage(t *rapid.T) teaselstream.Msg {
	server := teaselstream.ServerID(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "server"))
	request := teaselstream.AttemptID(rapid.SampledFrom([]string{"", "p", "q", "r", "s"}).Draw(t, "request"))
	number := func(label string) int { return oddInteger.Draw(t, label) }
	span := func(label string) time.Duration { return oddDuration.Draw(t, label) }
	layers := teaselstream.LayerRange{From: teaselstream.Layer(rapid.IntRange(-5, 20).Draw(t, "from")), To: 20}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return Lost{server, drawTotals(t, "ahead"), drawTotals(t, "streams"), number("vms"), oddNumber.Draw(t, "rate"), number("holders"), layers}
	case 1:
		return Ask{request, server, number("rank"), number("tokens"), number("left"), span("silent"), span("gap"), span("patience")}
	case 2:
		return Slowed{
			server, oddNumber.Draw(t, "factor"), drawTotals(t, "ahead"), drawTotals(t, "streams"), number("vms"), oddNumber.Draw(t, "rate"),
			number("holders"), layers,
		}
	case 3:
		return AskSlow{
			request, server, number("rank"), number("tokens"), number("left"), span("gap"), span("pause"), span("pace"), span("normal"),
			span("read"),
		}
	}
	return Ended{request}
}

// Guards against questions that get no answer or two, waits beyond the patience of the caller or into the past, state that grows, moves
// off slow servers that are too many or too close, and harm by numbers that no caller should send.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two, now := &Scheduler{}, &Scheduler{}, loadStart
		moved := map[teaselstream.AttemptID][]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 1500).Draw(t, "passed")) * time.Millisecond)
			m := drawMessage(t)
			cmds := one.Update(now, m)
			if again := two.Update(now, m); !reflect.DeepEqual(cmds, again) {
				t.Fatalf("%v and %v from equal messages", cmds, again)
			}
			switch m := m.(type) {
			case Ask:
				checkWait(t, now, m, answer(t, now, cmds, m.Request))
			case AskSlow:
				if at := answer(t, now, cmds, m.Request); at.Equal(now) {
					moved[m.Request] = append(moved[m.Request], now)
				} else if at.Sub(now) > settleTime {
					t.Fatalf("asks again after %s", at.Sub(now))
				}
				checkMoves(t, moved[m.Request])
			default:
				if len(cmds) > 0 {
					t.Fatalf("commands %v", cmds)
				}
			}
		}
	})
}

// answer returns the time of the only Move or Stay among the commands, which must not lie in the past.
func answer(t *rapid.T, now time.Time, cmds []teaselstream.Cmd, id teaselstream.AttemptID) (at time.Time) {
	answers := 0
	for _, c := range cmds {
		switch c := c.(type) {
		case Move:
			at, answers = c.At, answers+1
			if c.Request != id || at.Before(now) {
				t.Fatalf("%+v at %s", c, now)
			}
		case Stay:
			at, answers = c.Until, answers+1
			if c.Request != id || !at.After(now) {
				t.Fatalf("%+v at %s", c, now)
			}
		}
	}
	if answers != 1 {
		t.Fatalf("answers %v", cmds)
	}
	return at
}

func checkWait(t *rapid.T, now time.Time, a Ask, at time.Time) {
	wait, patience := at.Sub(now), a.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if wait > maxWait || (wait > 0 && wait > patience-max(a.Silent, 0)) {
		t.Fatalf("waits %s after %s of %s", wait, a.Silent, a.Patience)
	}
}

func checkMoves(t *rapid.T, moved []time.Time) {
	if len(moved) > maxMoves {
		t.Fatalf("moved %d times", len(moved))
	}
	for i := 1; i < len(moved); i++ {
		if moved[i].Sub(moved[i-1]) < settleTime {
			t.Fatalf("moved twice within %s", moved[i].Sub(moved[i-1]))
		}
	}
}

// Guards against state that grows with the servers, streams and moves of a long run.
func TestBoundedState(t *testing.T) {
	s := &Scheduler{}
	for i := range 3 * maxMoved {
		server, request := teaselstream.ServerID(fmt.Sprint(i)), teaselstream.AttemptID(fmt.Sprint(i))
		s.Update(loadStart, Lost{Server: server, ReadRate: 1})
		s.Update(loadStart, Slowed{Server: server, Factor: 9, ReadRate: 1e6, Ahead: map[int]int64{}})
		s.Update(loadStart, Ask{Request: request, Server: "0", Tokens: 9})
		s.Update(loadStart.Add(time.Second), AskSlow{Request: request, Server: "1", Left: 9, Pace: time.Second})
	}
	if len(s.lost) > maxServers || len(s.slow) > maxServers || len(s.moved) != maxMoved || len(s.lost["0"].own) > maxOwn {
		t.Errorf("keeps %d lost and %d slow servers, %d moves, %d streams", len(s.lost), len(s.slow), len(s.moved), len(s.lost["0"].own))
	}
	s.Update(loadStart.Add(keepMoves+2*time.Second), Ended{})
	if len(s.lost)+len(s.slow)+len(s.moved) > 0 {
		t.Errorf("keeps %d lost and %d slow servers and %d moves for ever", len(s.lost), len(s.slow), len(s.moved))
	}
}
