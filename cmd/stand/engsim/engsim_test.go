package engsim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/teaselstream/teaselstream"
)

const prompt = "where does the line end"

// fleet holds engines on loopback addresses by name.
type fleet map[teaselstream.ServerID]*node

type node struct {
	*Engine
	*httptest.Server
}

func newFleet(t *testing.T, ranges map[teaselstream.ServerID]teaselstream.LayerRange) fleet {
	t.Helper()
	f := fleet{}
	for name, r := range ranges {
		e := New(Options{Name: name, Model: "m", Layers: r, ChecksFencing: true})
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		f[name] = &node{e, s}
	}
	return f
}

func (f fleet) chain(hops ...teaselstream.Hop) []teaselstream.Hop {
	for i := range hops {
		hops[i].Address = f[hops[i].Server].Listener.Addr().String()
	}
	return hops
}

// stream returns the tokens of a stream and the kind of the event that ended it, or "" for a broken connection.
func (f fleet) stream(t *testing.T, q teaselstream.StreamRequest, each func(teaselstream.TokenEvent)) ([]string, string) {
	t.Helper()
	q.Request, q.Model, q.Prompt = "r1", "m", prompt
	body, _ := json.Marshal(q)
	url := "http://" + q.Chain[0].Address + "/v1/streams"
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, resp.Status
	}
	var tokens []string
	event := ""
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		if v, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			event = v
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if event != "token" {
			return tokens, event
		}
		var e teaselstream.TokenEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, e.Text)
		if each != nil {
			each(e)
		}
	}
	return tokens, ""
}

func newThreeEngines(t *testing.T) fleet {
	return newFleet(t, map[teaselstream.ServerID]teaselstream.LayerRange{
		"a": {From: 0, To: 16}, "b": {From: 8, To: 32}, "c": {From: 16, To: 32},
	})
}

func sameTokens(a, b []string) bool { return strings.Join(a, "") == strings.Join(b, "") }

// Guards against answers that depend on the chain, and against receipts that differ from the chain's hops.
func TestAnyChainGivesTheSameAnswer(t *testing.T) {
	f := newThreeEngines(t)
	for i, chain := range [][]teaselstream.Hop{
		f.chain(teaselstream.Hop{Server: "a", From: 0, To: 16}, teaselstream.Hop{Server: "c", From: 16, To: 32}),
		f.chain(teaselstream.Hop{Server: "a", From: 0, To: 9}, teaselstream.Hop{Server: "b", From: 9, To: 32}),
	} {
		q := teaselstream.StreamRequest{Attempt: teaselstream.Attempt(i + 1), MaxTokens: 5, Chain: chain}
		got, end := f.stream(t, q, func(e teaselstream.TokenEvent) {
			if len(e.Receipts) != 2 || e.Receipts[1].Server != chain[1].Server || e.Receipts[1].From != chain[1].From {
				t.Errorf("receipts = %v, want those of %v", e.Receipts, chain)
			}
		})
		if !sameTokens(got, Answer(prompt, 5)) || end != "done" {
			t.Errorf("chain %d: answer = %q, %q; want %q, done", i, got, end, Answer(prompt, 5))
		}
	}
}

// Guards against a crash after which a stream ends as complete, and against a resume that repeats or changes tokens.
func TestCrashAndResume(t *testing.T) {
	f := newThreeEngines(t)
	f["c"].Faults.Set(Faults{CrashAfter: 4})
	chain := f.chain(teaselstream.Hop{Server: "a", From: 0, To: 16}, teaselstream.Hop{Server: "c", From: 16, To: 32})
	got, end := f.stream(t, teaselstream.StreamRequest{Attempt: 1, MaxTokens: 8, Chain: chain}, nil)
	if len(got) != 3 || end != "lost" {
		t.Fatalf("stream through the crash = %q, %q; want 3 tokens and lost", got, end)
	}
	chain = f.chain(teaselstream.Hop{Server: "a", From: 0, To: 16}, teaselstream.Hop{Server: "b", From: 16, To: 32})
	rest, end := f.stream(t, teaselstream.StreamRequest{Attempt: 2, MaxTokens: 8, Emitted: got, Chain: chain}, nil)
	if !sameTokens(append(got, rest...), Answer(prompt, 8)) || end != "done" {
		t.Errorf("resumed answer = %q, %q; want the whole answer", rest, end)
	}
	if _, end = f.stream(t, teaselstream.StreamRequest{Attempt: 1, MaxTokens: 8, Chain: chain}, nil); end != "409 Conflict" {
		t.Errorf("older attempt = %q, want a conflict", end)
	}
	wrong, _ := f.stream(t, teaselstream.StreamRequest{Attempt: 3, MaxTokens: 2, Emitted: []string{"x"}, Chain: chain}, nil)
	if sameTokens(wrong, Answer(prompt, 2)[1:]) {
		t.Error("a resume after other tokens gives the engine's own answer")
	}
	f["a"].Faults.Set(Faults{CrashAfter: 2})
	if _, end = f.stream(t, teaselstream.StreamRequest{Attempt: 4, MaxTokens: 8, Chain: chain}, nil); end != "" {
		t.Errorf("stream whose head crashed ended with %q, want a broken connection", end)
	}
}

// Guards against a cancellation that does not stop its stream, or that stops a newer attempt.
func TestCancel(t *testing.T) {
	f := newFleet(t, map[teaselstream.ServerID]teaselstream.LayerRange{"a": {From: 0, To: 4}})
	chain := f.chain(teaselstream.Hop{Server: "a", From: 0, To: 4})
	q := teaselstream.StreamRequest{Attempt: 2, MaxTokens: 1 << 20, Chain: chain}
	_, end := f.stream(t, q, func(e teaselstream.TokenEvent) {
		switch e.Index {
		case 1:
			f["a"].cancelAttempt("r1", 1)
		case 5:
			f["a"].cancelAttempt("r1", 2)
		}
	})
	if end != "done" || f["a"].Steps() < 5 {
		t.Errorf("canceled stream ended with %q after %d steps, want done after the cancel of its own attempt", end, f["a"].Steps())
	}
}

// Guards against an engine with ChecksFencing that applies an order with an outdated fencing number.
func TestOrders(t *testing.T) {
	f := newFleet(t, map[teaselstream.ServerID]teaselstream.LayerRange{"a": {From: 0, To: 4}})
	for i, c := range []struct {
		fencing teaselstream.Fencing
		status  int
	}{{5, 202}, {4, 409}, {5, 202}} {
		body, _ := json.Marshal(teaselstream.PlacementOrder{Fencing: c.fencing, Model: "m", From: 2, To: 6})
		resp, err := http.Post(f["a"].URL+"/v1/orders", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("order %d with fencing number %d = %d, want %d", i, c.fencing, resp.StatusCode, c.status)
		}
	}
}

// post sends a JSON body to an engine and decodes the answer into out, if it is not nil.
func (n *node) post(t *testing.T, path string, in, out any) int {
	t.Helper()
	body, _ := json.Marshal(in)
	resp, err := http.Post(n.URL+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && resp.StatusCode < 300 {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// Guards against a KV cache that is recomputed although an export covers the layers, or imported although it does not.
func TestExportAndImport(t *testing.T) {
	f := newFleet(t, map[teaselstream.ServerID]teaselstream.LayerRange{
		"a": {From: 0, To: 8}, "same": {From: 0, To: 8}, "wider": {From: 0, To: 16},
	})
	chain := f.chain(teaselstream.Hop{Server: "a", From: 0, To: 8})
	f.stream(t, teaselstream.StreamRequest{Attempt: 1, MaxTokens: 4, Chain: chain}, nil)
	var x exportAnswer
	if status := f["a"].post(t, "/v1/kv/export", struct{ Request string }{"r1"}, &x); status != 200 || x.Tokens != 3 {
		t.Fatalf("export = %d %+v, want the 3 answer tokens that precede the last step", status, x)
	}
	for _, c := range []struct {
		server teaselstream.ServerID
		status int
	}{{"same", 200}, {"wider", 404}} {
		var got exportAnswer
		q := importBody{Request: "r1", Attempt: 2, Name: x.Name}
		if status := f[c.server].post(t, "/v1/kv/import", q, &got); status != c.status || status == 200 && got.Tokens != 3 {
			t.Errorf("import by %s = %d %+v, want %d", c.server, status, got, c.status)
		}
	}
	st := f["same"].beginAttempt("r1", 2)
	if got := f["same"].extendCache(st, countTokens(prompt), 4, 0); got != 1 {
		t.Errorf("the step after an import lacks %d tokens, want only the newest", got)
	}
}

// Guards against cache events without gaps, evictions and delay: a reader that cannot handle those would pass its tests.
func TestCacheEvents(t *testing.T) {
	c := cache{limit: 2, dropEvery: 3}
	long := strings.Repeat("many words ", 100)
	if hit := c.lookup("m", long); hit != 0 {
		t.Errorf("first use finds %d tokens, want none", hit)
	}
	if hit := c.lookup("m", long); hit == 0 {
		t.Error("second use finds no tokens, want those of the prefixes that fit")
	}
	last := teaselstream.Sequence(0)
	gaps, evicted := 0, 0
	for _, e := range c.after(0) {
		if e.Sequence != last+1 {
			gaps++
		}
		if e.Evicted {
			evicted++
		}
		last = e.Sequence
	}
	if gaps == 0 || evicted == 0 {
		t.Errorf("events have %d gaps and %d evictions, want some of both", gaps, evicted)
	}
	c.lag = 1 << 62
	if got := c.after(0); len(got) != 0 {
		t.Errorf("%d events are visible before their lag has passed", len(got))
	}
}

// Guards against a prompt in CrashOn that does not crash the engine, and against a restart that keeps the incarnation or the state.
func TestCrashOnContent(t *testing.T) {
	f := newFleet(t, map[teaselstream.ServerID]teaselstream.LayerRange{"a": {From: 0, To: 8}})
	chain := f.chain(teaselstream.Hop{Server: "a", From: 0, To: 8})
	f["a"].Faults.Set(Faults{CrashOn: "line"})
	q := teaselstream.StreamRequest{Attempt: 1, MaxTokens: 2, Chain: chain}
	for i := range 2 {
		if got, end := f.stream(t, q, nil); len(got) > 0 || end != "" {
			t.Errorf("stream %d of the engine that crashes = %q, %q; want a broken connection", i, got, end)
		}
	}
	f["a"].Faults.Set(Faults{})
	f["a"].Restart()
	if got, end := f.stream(t, q, nil); !sameTokens(got, Answer(prompt, 2)) || end != "done" || f["a"].incarnation != 2 {
		t.Errorf("after the restart: %q, %q, incarnation %d; want the answer and incarnation 2", got, end, f["a"].incarnation)
	}
}
