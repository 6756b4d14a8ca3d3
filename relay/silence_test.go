package relay

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// runningRelay returns a relay whose stream has emitted one token on chain "a" of one server and then is silent. Plan offers server
// b besides if substitute is set.
func runningRelay(t *testing.T, substitute bool) (*Relay, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	r := New(Config{
		Request: teaselstream.StreamRequest{Request: "r", Model: "m", MaxTokens: 9}, Layers: 4,
		Plan: func(_ time.Time, q teaselstream.PlanRequest) (teaselstream.Plan, bool) {
			for _, s := range []teaselstream.ServerID{"a", "b"} {
				if !q.Avoid[s] && (s == "a" || substitute) {
					return teaselstream.Plan{Chain: []teaselstream.Hop{{Server: s, Address: string(s), To: 4}}}, true
				}
			}
			return teaselstream.Plan{}, false
		},
	})
	r.Update(now, Start{})
	e := &teaselstream.TokenEvent{Request: "r", Attempt: 1, Sequence: 1, Text: "x", Receipts: []teaselstream.Receipt{{Server: "a", To: 4}}}
	if len(r.Update(now, e)) == 0 || len(r.Emitted()) != 1 {
		t.Fatal("the first token was not emitted")
	}
	return r, now
}

// Guards against a stream whose attempt is canceled because its server is silent for a second, before another server has taken it.
func TestSilentServerKeepsStream(t *testing.T) {
	for _, x := range []struct {
		name       string
		substitute bool
		silent     []teaselstream.ServerID
	}{
		{"alone-probe-fails", false, []teaselstream.ServerID{"a"}},
		{"alone-probe-answered", false, nil},
		{"substitute-probe-fails", true, []teaselstream.ServerID{"a"}},
		{"substitute-probe-answered", true, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			r, now := runningRelay(t, x.substitute)
			r.Update(now.Add(750*time.Millisecond), teaselstream.Tick{})
			r.Update(now.Add(950*time.Millisecond), ProbeResult{Attempt: 1, Silent: x.silent})
			for _, c := range r.Update(now.Add(1010*time.Millisecond), teaselstream.Tick{}) {
				if c, ok := c.(CancelStream); ok {
					t.Errorf("attempt %d is canceled, and no other server has taken the request", c.Attempt)
				}
			}
		})
	}
}

// Guards against a running stream that ends at once because the substitutes of a silent server have no room.
func TestRefusedReplacementKeepsStream(t *testing.T) {
	r, now := runningRelay(t, true)
	now = now.Add(1010 * time.Millisecond)
	r.Update(now.Add(-300*time.Millisecond), teaselstream.Tick{})
	r.Update(now.Add(-50*time.Millisecond), ProbeResult{Attempt: 1, Silent: []teaselstream.ServerID{"a"}})
	r.Update(now, teaselstream.Tick{})
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m := teaselstream.Msg(teaselstream.Tick{})
		if r.state == streaming && r.attempt > 1 {
			m = StreamFailed{Attempt: r.attempt, Err: &teaselstream.Error{Code: teaselstream.CodeOverloaded}}
		}
		for _, c := range r.Update(now, m) {
			if c, ok := c.(Finish); ok {
				t.Fatalf("the stream ends %v after its last token: %s %s", now.Sub(time.Unix(1000, 0)), c.Code, c.Message)
			}
		}
		// The silent server goes on after 1.5 s.
		if now.Sub(time.Unix(1000, 0)) > 1500*time.Millisecond {
			e := &teaselstream.TokenEvent{Request: "r", Attempt: 1, Sequence: 2, Index: 1, Text: "y", Receipts: []teaselstream.Receipt{{Server: "a", To: 4}}}
			r.Update(now, e)
			if len(r.Emitted()) > 1 {
				return
			}
		}
	}
	t.Error("the token of the running server was not delivered")
}

// Guards against a request that ends before its first token because its server is silent and the retry budget is spent, although the
// server goes on.
func TestSpentBudgetKeepsSilentAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	asked := 0
	r := New(Config{
		Request: teaselstream.StreamRequest{Request: "r", Model: "m", MaxTokens: 9}, Layers: 4,
		Plan: func(_ time.Time, q teaselstream.PlanRequest) (teaselstream.Plan, bool) {
			s := teaselstream.ServerID("a")
			if q.Avoid[s] {
				s = "b"
			}
			return teaselstream.Plan{Chain: []teaselstream.Hop{{Server: s, Address: string(s), To: 4}}}, true
		},
		MayRetry: func(time.Time) bool { asked++; return false },
	})
	r.Update(now, Start{})
	for range 25 {
		now = now.Add(100 * time.Millisecond)
		for _, c := range r.Update(now, teaselstream.Tick{}) {
			switch c := c.(type) {
			case CancelStream, Finish:
				t.Fatalf("%T %v after the start", c, now.Sub(time.Unix(1000, 0)))
			case ProbeChain:
				r.Update(now, ProbeResult{Attempt: 1, Silent: []teaselstream.ServerID{"a"}})
			}
		}
	}
	if asked != 2 {
		t.Errorf("the budget was asked %d times in 2.5 s, want once for each of 2 stall checks", asked)
	}
	e := &teaselstream.TokenEvent{Request: "r", Attempt: 1, Sequence: 1, Text: "x", Receipts: []teaselstream.Receipt{{Server: "a", To: 4}}}
	if r.Update(now, e); len(r.Emitted()) != 1 {
		t.Error("the token of the running server was not delivered")
	}
}

// Guards against a request that waits for ever for a server that ended without a word and has no substitute.
func TestDeadServerWithoutSubstituteEndsStream(t *testing.T) {
	r, start := runningRelay(t, false)
	for now := start; now.Sub(start) < 15*time.Second; now = now.Add(100 * time.Millisecond) {
		for _, c := range r.Update(now, teaselstream.Tick{}) {
			switch c := c.(type) {
			case ProbeChain:
				r.Update(now, ProbeResult{Attempt: c.Attempt, Silent: []teaselstream.ServerID{"a"}})
			case Finish:
				if d := now.Sub(start); c.Code != teaselstream.CodeNoRoute || d < 6*time.Second || d > 7500*time.Millisecond {
					t.Errorf("ended %v after the last token: %s %s; want %s after 6 to 7.5 s", d, c.Code, c.Message, teaselstream.CodeNoRoute)
				}
				return
			}
		}
	}
	t.Error("the request had not ended after 15 s")
}

// Guards against a server that is replaced because it did not answer a probe before its last sign of life.
func TestProgressClearsSilence(t *testing.T) {
	for _, name := range []string{"keep-alive", "token", "token-before-result"} {
		t.Run(name, func(t *testing.T) {
			r, now := runningRelay(t, true)
			r.Update(now.Add(750*time.Millisecond), teaselstream.Tick{})
			result := ProbeResult{Attempt: 1, Silent: []teaselstream.ServerID{"a"}}
			now = now.Add(950 * time.Millisecond)
			if name != "token-before-result" {
				r.Update(now, result)
			}
			m := teaselstream.Msg(KeepAlive{Attempt: 1})
			if name != "keep-alive" {
				m = &teaselstream.TokenEvent{
					Request: "r", Attempt: 1, Sequence: 2, Index: 1, Text: "y", Receipts: []teaselstream.Receipt{{Server: "a", To: 4}},
				}
			}
			r.Update(now, m)
			if name == "token-before-result" {
				r.Update(now, result)
			}
			probed := false
			for i := range 11 {
				for _, c := range r.Update(now.Add(time.Duration(i)*100*time.Millisecond), teaselstream.Tick{}) {
					switch c := c.(type) {
					case ProbeChain:
						probed = true
					case ReportServer:
						if c.Event == Stalled {
							t.Errorf("%s is reported as %s, and no probe since its last sign of life has failed", c.Server, c.Event)
						}
					}
				}
			}
			if !probed {
				t.Error("the chain is not probed again")
			}
		})
	}
}
