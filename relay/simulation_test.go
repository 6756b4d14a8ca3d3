package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/vtime"
)

const (
	layers          = 12
	layersPerServer = 4
	prefillTime     = 200 * time.Millisecond
	tokenTime       = 28 * time.Millisecond
	tick            = 100 * time.Millisecond
	networkDelay    = time.Millisecond
)

type (
	// fault happens to a server when a stream over it reaches the token at; -1 is during prefill.
	fault struct {
		kind   string
		server teaselstream.ServerID
		at     int
	}

	// networkFaults holds the probabilities of network faults between engine and router; the zero value means none.
	networkFaults struct {
		random                                  *rand.Rand
		duplicate, reorder, foreign, lateCancel float64
	}

	// simulation simulates engines and one caller under virtual time.
	simulation struct {
		queue         *vtime.Queue
		start         time.Time
		relay         *Relay
		log           strings.Builder
		faults        []fault
		networkFaults networkFaults
		tokens        int
		down          map[teaselstream.ServerID]string
		runs          []*engineStream
		// exported is the position of each server's last export.
		exported map[teaselstream.ServerID]int

		received []string
		reached  bool
		finishes []Finish
		keep     []teaselstream.Hop
		last     []teaselstream.Hop
		problems []string
		// mustComplete means that no server fails and the caller stays connected, so the answer must be complete.
		mustComplete bool
	}

	// engineStream is one attempt as the engines run it.
	engineStream struct {
		request  teaselstream.StreamRequest
		sequence teaselstream.Sequence
		canceled bool
	}
)

var replicas = [][]teaselstream.ServerID{{"a1", "a2", "a3"}, {"b1", "b2", "b3"}, {"c1", "c2", "c3"}}

func newSimulation(tokens int, faults []fault, f invar.Faults, v *invar.Recorder) *simulation {
	w := &simulation{
		queue: vtime.NewQueue(time.Unix(0, 0)), start: time.Unix(0, 0), faults: faults, tokens: tokens,
		down: map[teaselstream.ServerID]string{}, exported: map[teaselstream.ServerID]int{},
	}
	w.relay = New(Config{
		Request: teaselstream.StreamRequest{Request: "r1", Model: "m", MaxTokens: tokens},
		Layers:  layers, Plan: w.plan, Deadline: w.start.Add(30 * time.Second), Invariants: v, Faults: f,
	})
	w.queue.After(0, func() { w.update("start", Start{}) })
	w.tick()
	return w
}

// run steps the simulation until the request has ended and its late frames have arrived.
func (w *simulation) run() {
	limit := w.start.Add(40 * time.Second)
	for len(w.finishes) == 0 && w.queue.Now().Before(limit) && w.queue.Step() {
	}
	w.queue.RunUntil(w.queue.Now().Add(2 * time.Second))
}

func (w *simulation) tick() {
	w.queue.After(tick, func() {
		w.update("", teaselstream.Tick{})
		if len(w.finishes) == 0 {
			w.tick()
		}
	})
}

func (w *simulation) plan(_ time.Time, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
	w.keep = r.Keep
	p := teaselstream.Plan{FirstToken: prefillTime, PerToken: tokenTime}
	for i, group := range replicas {
		from := teaselstream.Layer(i * layersPerServer)
		h := teaselstream.Hop{From: from, To: from + layersPerServer}
		for _, s := range group {
			kept := slices.ContainsFunc(r.Keep, func(k teaselstream.Hop) bool { return k.Server == s })
			if kept || h.Server == "" && !r.Avoid[s] {
				h.Server, h.Address = s, string(s)
			}
		}
		if h.Server == "" {
			return p, false
		}
		p.Chain = append(p.Chain, h)
	}
	return p, true
}

// update passes a message to the relay and carries out its commands.
func (w *simulation) update(what string, m teaselstream.Msg) {
	w.logLine("<", what)
	over := len(w.finishes) > 0
	var lost []teaselstream.ServerID
	for _, c := range w.relay.Update(w.queue.Now(), m) {
		if over {
			w.problem("command %T after the end", c)
		}
		switch c := c.(type) {
		case *EmitToken:
			w.emit(*c)
		case OpenStream:
			w.checkKeptHops(lost, c)
			w.open(c.Request)
		case CancelStream:
			w.logLine(">", fmt.Sprintf("cancel attempt %d at %s", c.Attempt, c.Address))
			w.cancel(c.Attempt)
		case ProbeChain:
			w.logLine(">", "probe "+chainText(c.Chain))
			w.probe(c)
		case ExportCache:
			w.logLine(">", fmt.Sprintf("export the cache of %s", c.Server))
			w.export(c)
		case ReportServer:
			if c.Event != Completed {
				w.logLine(">", fmt.Sprintf("report %s as %s", c.Server, c.Event))
				lost = append(lost, c.Server)
			}
		case Finish:
			w.finishes = append(w.finishes, c)
			w.logLine(">", strings.TrimSpace(fmt.Sprintf("finish %s %s with %d tokens, outcome %s", c.Reason, c.Code, c.Tokens, c.Outcome)))
		}
	}
}

func (w *simulation) emit(c EmitToken) {
	w.logLine(">", fmt.Sprintf("emit %d %q", c.Index, c.Text))
	w.received = append(w.received, c.Text)
}

// checkKeptHops requires that a new attempt keeps the servers that were not lost, if there is a chain with them.
func (w *simulation) checkKeptHops(lost []teaselstream.ServerID, c OpenStream) {
	if len(lost) > 0 && w.keep != nil && len(w.keep) != len(w.last)-len(lost) {
		w.problem("attempt %d keeps %d of %d hops after the loss of %v", c.Request.Attempt, len(w.keep), len(w.last), lost)
	}
	w.last = c.Plan.Chain
}

func (w *simulation) open(q teaselstream.StreamRequest) {
	w.logLine(">", fmt.Sprintf("open attempt %d over %s after %d tokens", q.Attempt, chainText(q.Chain), len(q.Emitted)))
	head := q.Chain[0].Server
	if w.down[head] == "crash" {
		w.queue.After(networkDelay, func() {
			w.update(fmt.Sprintf("attempt %d refused by %s", q.Attempt, head), StreamFailed{q.Attempt, fmt.Errorf("refused: %w", teaselstream.ErrUnavailable)})
		})
		return
	}
	w.reached = true
	n := &engineStream{request: q}
	w.runs = append(w.runs, n)
	w.queue.After(prefillTime/2, func() {
		if w.applyFaults(n, -1) {
			w.queue.After(w.remainingPrefill(n), func() { w.step(n, len(q.Emitted)) })
		}
	})
}

// remainingPrefill returns the second half of the prefill time, which is short if a stage imports the cache of its predecessor.
func (w *simulation) remainingPrefill(n *engineStream) time.Duration {
	for _, h := range n.request.Chain {
		if h.Import != "" {
			return networkDelay
		}
	}
	return prefillTime / 2
}

// step sends token i and schedules the next one, or ends the stream after the last one.
func (w *simulation) step(n *engineStream, i int) {
	if n.canceled || !w.applyFaults(n, i) {
		return
	}
	n.sequence++
	q := n.request
	if i >= w.tokens {
		e := teaselstream.DoneEvent{Request: q.Request, Attempt: q.Attempt, Sequence: n.sequence, Reason: "stop", Tokens: i}
		w.send(fmt.Sprintf("done of attempt %d", q.Attempt), func() { w.update(fmt.Sprintf("done of attempt %d", q.Attempt), e) })
		return
	}
	e := teaselstream.TokenEvent{Request: q.Request, Attempt: q.Attempt, Sequence: n.sequence, Index: teaselstream.TokenIndex(i), Text: tokenText(i)}
	for _, h := range q.Chain {
		if w.down[h.Server] != "gap" {
			e.Receipts = append(e.Receipts, teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To})
		}
	}
	w.sendToken(e)
	w.queue.After(tokenTime, func() { w.step(n, i+1) })
}

func tokenText(i int) string { return fmt.Sprintf("t%d", i) }

// applyFaults applies the faults that are due at token i and reports whether the whole chain still works.
func (w *simulation) applyFaults(n *engineStream, i int) bool {
	q := n.request
	for _, f := range w.faults {
		if f.at == i && w.down[f.server] == "" && slices.ContainsFunc(q.Chain, func(h teaselstream.Hop) bool { return h.Server == f.server }) {
			w.logLine("!", f.kind+" of "+string(f.server))
			if f.kind == "leave" {
				w.exported[f.server] = -1
				w.update("leaving "+string(f.server), ServerLeaving{f.server})
				continue
			}
			w.down[f.server] = f.kind
		}
	}
	for stage, h := range q.Chain {
		switch state := w.down[h.Server]; {
		case state == "hang", state == "stuck":
			return false
		case state == "crash" && stage == 0:
			w.send("", func() {
				w.update(fmt.Sprintf("attempt %d reset by %s", q.Attempt, h.Server), StreamFailed{q.Attempt, errors.New("reset")})
			})
			return false
		case state == "crash":
			e := teaselstream.LostEvent{Request: q.Request, Attempt: q.Attempt, Stage: teaselstream.StageIndex(stage), Server: h.Server}
			w.send("", func() { w.update(fmt.Sprintf("attempt %d lost %s", q.Attempt, h.Server), e) })
			return false
		}
	}
	return true
}

func (w *simulation) cancel(a teaselstream.Attempt) {
	delay := networkDelay
	if w.chance(w.networkFaults.lateCancel) {
		delay = 500 * time.Millisecond
	}
	for _, n := range w.runs {
		if n.request.Attempt == a {
			w.queue.After(delay, func() { n.canceled = true })
		}
	}
}

func (w *simulation) probe(c ProbeChain) {
	w.queue.After(tokenTime, func() {
		var silent []teaselstream.ServerID
		for _, h := range c.Chain {
			if s := w.down[h.Server]; s == "hang" || s == "crash" {
				silent = append(silent, h.Server)
			}
		}
		w.update(fmt.Sprintf("silent %v", silent), ProbeResult{c.Attempt, silent})
	})
}

func (w *simulation) export(c ExportCache) {
	w.queue.After(tokenTime, func() {
		m := CacheExported{Server: c.Server}
		if w.down[c.Server] == "" {
			m.Name, m.Tokens = "cache-"+string(c.Server), teaselstream.TokenIndex(len(w.received))
		}
		w.update(fmt.Sprintf("exported %q at %d tokens", m.Name, m.Tokens), m)
	})
}

func (w *simulation) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *simulation) logLine(direction, text string) {
	if text != "" {
		_, _ = fmt.Fprintf(&w.log, "%6.3fs %s %s\n", w.queue.Now().Sub(w.start).Seconds(), direction, text)
	}
}

func chainText(chain []teaselstream.Hop) string {
	var parts []string
	for _, h := range chain {
		s := fmt.Sprintf("%s[%d-%d]", h.Server, h.From, h.To)
		if h.Import != "" {
			s += " importing " + h.Import
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, " ")
}
