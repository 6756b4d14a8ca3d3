package serve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/relay"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// fakeEngine answers each prompt with the numbers from 0. For the prompt "hold", a stream waits before token holdAt
	// until release is closed.
	fakeEngine struct {
		teaselstream.Engine
		holdAt  int
		release chan struct{}
		events  []teaselstream.CacheEvent

		mu       sync.Mutex
		started  []teaselstream.StreamRequest
		canceled chan teaselstream.Attempt
	}

	fakeStream struct {
		engine      *fakeEngine
		request     teaselstream.StreamRequest
		next        int
		interrupted chan struct{}
	}
)

func (e *fakeEngine) Start(_ context.Context, _ string, r teaselstream.StreamRequest) (teaselstream.EngineStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = append(e.started, r)
	return &fakeStream{engine: e, request: r, next: len(r.Emitted), interrupted: make(chan struct{}, 1)}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, _ string, _ teaselstream.RequestID, a teaselstream.Attempt) error {
	e.canceled <- a
	return nil
}

func (e *fakeEngine) Load(context.Context, string) (teaselstream.Load, error) {
	return teaselstream.Load{}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, string, teaselstream.Sequence) ([]teaselstream.CacheEvent, error) {
	return e.events, nil
}

func (s *fakeStream) Next(wait time.Duration) (teaselstream.Msg, error) {
	r := s.request
	if r.Prompt == "hold" && s.next >= s.engine.holdAt {
		select {
		case <-s.engine.release:
		case <-s.interrupted:
			return teaselstream.Tick{}, nil
		case <-time.After(wait):
			return teaselstream.StreamKeepAlive{}, nil
		}
	}
	sequence := teaselstream.Sequence(s.next - len(r.Emitted) + 1)
	if s.next >= r.MaxTokens {
		return teaselstream.DoneEvent{Request: r.Request, Attempt: r.Attempt, Sequence: sequence, Reason: "stop", Tokens: s.next}, nil
	}
	e := &teaselstream.TokenEvent{
		Request: r.Request, Attempt: r.Attempt, Sequence: sequence, Index: teaselstream.TokenIndex(s.next), Text: fmt.Sprint(s.next),
	}
	for _, h := range r.Chain {
		e.Receipts = append(e.Receipts, teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To})
	}
	s.next++
	return e, nil
}

func (s *fakeStream) Buffered() bool { return false }

func (s *fakeStream) Interrupt() {
	select {
	case s.interrupted <- struct{}{}:
	default:
	}
}

func (s *fakeStream) Close() error { return nil }

// newFixture returns a service with one server that runs one stream at a time.
func newFixture(holdAt int) (*Service, *fakeEngine) {
	e := &fakeEngine{holdAt: holdAt, release: make(chan struct{}), canceled: make(chan teaselstream.Attempt, 8)}
	server := teaselstream.Server{
		Name: "s", Kind: teaselstream.KindModel, Address: "s", Model: "m", Accelerators: 1,
		Layers: teaselstream.LayerRange{To: 4}, TimePerLayer: time.Millisecond, MaxConcurrent: 1,
	}
	snap := &teaselstream.Snapshot{
		VM: "vm", LiveVMs: 1,
		Document: &teaselstream.Document{
			Models:  map[teaselstream.ModelID]teaselstream.Model{"m": {Name: "m", Layers: 4, CanaryPrompt: "count"}},
			Servers: map[teaselstream.ServerID]teaselstream.Server{"s": server},
			Limits:  teaselstream.Limits{MaxTokens: 4, QueueTime: time.Minute},
		},
		Servers: map[teaselstream.ServerID]teaselstream.ServerView{"s": {Server: server, Weight: 1, Slowdown: 1}},
	}
	return New(Options{
		Snapshot: func() *teaselstream.Snapshot { return snap }, Engine: e, Planner: route.NewCheapest(route.Options{}),
		Invariants: &invar.Recorder{},
	}), e
}

func request(id string, p teaselstream.Priority, prompt string) Request {
	return Request{
		ID: teaselstream.RequestID(id), Team: teaselstream.Team{Name: "t", MaxPriority: 9}, Arrived: time.Now(), Worth: 1,
		Model: "m", Prompt: prompt, Priority: p, HasPriority: true,
	}
}

func open(t *testing.T, s *Service, r Request) *Session {
	t.Helper()
	n, err := s.Open(r)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// read returns the text of up to limit tokens, and the end of the answer if it comes before.
func read(n *Session, limit int) string {
	var b strings.Builder
	for range limit {
		text, ok, err := n.Next()
		if !ok {
			fmt.Fprintf(&b, " end %s%v", n.Reason(), err)
			break
		}
		b.WriteString(text)
	}
	return b.String()
}

// Guards against an engine that continues an answer after its caller has disconnected.
func TestCallerGone(t *testing.T) {
	s, e := newFixture(2)
	n := open(t, s, request("r", 1, "hold"))
	if got := read(n, 2); got != "01" {
		t.Fatalf("tokens = %q, want 01", got)
	}
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	if a := <-e.canceled; a != 1 {
		t.Errorf("attempt %d canceled, want 1", a)
	}
	if s.InFlight() != 0 {
		t.Errorf("InFlight() = %d after the end, want 0", s.InFlight())
	}
}

// Guards against an answer that is not streamed and continues after its caller has disconnected: nothing is written to
// the caller before the end, so no write fails.
func TestCallerGoneUnstreamed(t *testing.T) {
	s, e := newFixture(2)
	r := request("r", 1, "hold")
	r.Disconnected = func() bool { return true }
	n := open(t, s, r)
	defer func() { _ = n.Close() }()
	if got := read(n, 9); !strings.HasSuffix(got, " end Canceled (Ran): the caller closed the connection") {
		t.Errorf("answer = %q, want its end as canceled", got)
	}
	<-e.canceled
}

// Guards against a preempted stream that keeps its slot, or that repeats or loses tokens when it resumes.
func TestPreemptedStreamResumes(t *testing.T) {
	s, e := newFixture(2)
	low := open(t, s, request("low", 1, "hold"))
	first := read(low, 2)
	rest := make(chan string)
	go func() { rest <- read(low, 9) }()
	high := open(t, s, request("high", 5, "now"))
	if got := read(high, 9); got != "0123 end stop<nil>" {
		t.Errorf("answer of the higher priority = %q", got)
	}
	if a := <-e.canceled; a != 1 {
		t.Errorf("attempt %d canceled, want 1", a)
	}
	close(e.release)
	if got := first + <-rest; got != "0123 end stop<nil>" {
		t.Errorf("answer of the preempted stream = %q", got)
	}
	_, _ = low.Close(), high.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.started[len(e.started)-1]
	if last.Request != "low" || last.Attempt != 2 || len(last.Emitted) != 2 {
		t.Errorf("last stream = %s attempt %d after %d tokens, want low attempt 2 after 2", last.Request, last.Attempt, len(last.Emitted))
	}
}

// Guards against a canary whose answers cannot be compared, or whose chain does not include the server under test.
func TestCanary(t *testing.T) {
	s, _ := newFixture(0)
	c := health.Canary{Model: "m", Server: "s"}
	a, err := s.Canary(t.Context(), c)
	if err != nil || len(a.Chain) != 1 || a.Chain[0] != "s" {
		t.Fatalf("Canary() = %+v, %v, want a chain of s", a, err)
	}
	if b, err := s.Canary(t.Context(), c); err != nil || b.Answer != a.Answer {
		t.Errorf("second Canary() = %+v, %v, want the same answer", b, err)
	}
	if _, err := s.Canary(t.Context(), health.Canary{Model: "none"}); !errors.Is(err, teaselstream.ErrNotFound) {
		t.Errorf("Canary() of an unknown model = %v, want %v", err, teaselstream.ErrNotFound)
	}
}

// Guards against a healthy server that is reported as stalled because it shares a chain with a stuck one.
func TestStuckServerIsToldApart(t *testing.T) {
	var stalled []teaselstream.ServerID
	e := stallTracker{report: func(s teaselstream.ServerID, x relay.Event) {
		if x == relay.Stalled {
			stalled = append(stalled, s)
		}
	}}
	stall := func(servers ...teaselstream.ServerID) {
		var chain []teaselstream.Hop
		for _, s := range servers {
			chain = append(chain, teaselstream.Hop{Server: s})
		}
		for _, s := range servers {
			e.record(s, chain, relay.Unexplained)
		}
	}
	stall("a", "stuck")
	stall("a", "stuck")
	if len(stalled) != 0 {
		t.Errorf("reported %v after stalls of one chain, want none", stalled)
	}
	e.record("a", nil, relay.Completed)
	stall("b", "stuck")
	if len(stalled) != 1 || stalled[0] != "stuck" {
		t.Errorf("reported %v after stalls of two chains, want the server in both", stalled)
	}
}

// Guards against prefix digests that differ from those of the engines, and against prefixes that are still expected on a
// server that has died.
func TestPrefixHints(t *testing.T) {
	s, e := newFixture(0)
	s.options.Prefixes = &route.Prefixes{}
	prompt := strings.Repeat("x", 600)
	hints := prefixesOf("m", prompt)
	sum := sha256.Sum256([]byte("m\n" + prompt[:512]))
	if len(hints) != 2 || hints[1] != teaselstream.Digest(hex.EncodeToString(sum[:])) {
		t.Fatalf("prefixesOf() = %v, want two digests over 256 and 512 bytes", hints)
	}
	e.events = []teaselstream.CacheEvent{{Sequence: 1, Prefix: hints[1], Tokens: 100}}
	s.prefixes.enqueue("s")
	s.prefixes.enqueue("s")
	s.prefixes.pollRound(t.Context(), &s.options)
	if got := s.options.Prefixes.ExpectedTokens("s", hints); got != 100 {
		t.Errorf("ExpectedTokens() = %v after one round, want 100", got)
	}
	s.options.Snapshot().Servers["s"] = teaselstream.ServerView{State: teaselstream.Dead}
	s.prefixes.enqueue("s")
	s.prefixes.pollRound(t.Context(), &s.options)
	if got := s.options.Prefixes.ExpectedTokens("s", hints); got != 0 {
		t.Errorf("ExpectedTokens() = %v for a dead server, want 0", got)
	}
}

// Guards against messages of package blame that are altered between VMs, or that name a false sender.
func TestBlameFrames(t *testing.T) {
	s, _ := newFixture(0)
	for _, c := range []struct {
		cmd teaselstream.Cmd
		to  teaselstream.VMID
		ok  bool
	}{
		{blame.Suspicion{Fingerprint: "f", Server: "s"}, "", true},
		{blame.Verdict{Fingerprint: "f", Crashes: true}, "", true},
		{blame.AskPermit{From: "other", To: "vm", Subject: "server/s", Request: "r"}, "vm", true},
		{blame.ReleasePermit{From: "third", To: "vm", Subject: "server/s"}, "vm", false},
	} {
		to, m, err := EncodeBlameMessage(c.cmd)
		if err != nil || to != c.to {
			t.Fatalf("EncodeBlameMessage(%T) = %q, %v, want %q", c.cmd, to, err, c.to)
		}
		if err := s.ReceiveBlameMessage("other", payload(m)); (err == nil) != c.ok {
			t.Errorf("ReceiveBlameMessage(%T) = %v, want success %v", c.cmd, err, c.ok)
		}
	}
	if !s.crashGuard.tracker.Suspected("f") {
		t.Error("a verdict of another VM had no effect")
	}
}

func payload(m wire.Message) []byte {
	if p, ok := m.(wire.Permit); ok {
		return p.Data
	}
	return nil
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
