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
	layers     = 12
	layerStep  = 4
	prefill    = 200 * time.Millisecond
	perToken   = 28 * time.Millisecond
	tick       = 100 * time.Millisecond
	connection = time.Millisecond
)

type (
	// fault happens to a server when a stream on it reaches a token; -1 is before the first one.
	fault struct {
		kind   string
		server teaselstream.ServerID
		at     int
	}

	// noise disturbs the frames between engine and router; the zero value does not.
	noise struct {
		random                               *rand.Rand
		duplicate, reorder, foreign, lateEnd float64
	}

	// world is a fleet of fake engines and one caller under virtual time.
	world struct {
		queue  *vtime.Queue
		start  time.Time
		relay  *Relay
		log    strings.Builder
		faults []fault
		noise  noise
		tokens int
		down   map[teaselstream.ServerID]string
		runs   []*engineRun
		// exported is the position of each server's last export.
		exported map[teaselstream.ServerID]int

		received []string
		reached  bool
		finishes []Finish
		keep     []teaselstream.Hop
		last     []teaselstream.Hop
		problems []string
		// undisturbed means that no server fails and the caller stays, so the answer must be complete.
		undisturbed bool
	}

	// engineRun is the engines' side of one attempt.
	engineRun struct {
		request   teaselstream.StreamRequest
		sequence  teaselstream.Sequence
		cancelled bool
	}
)

var replicas = [][]teaselstream.ServerID{{"a1", "a2", "a3"}, {"b1", "b2", "b3"}, {"c1", "c2", "c3"}}

func newWorld(tokens int, faults []fault, f invar.Faults, v *invar.Recorder) *world {
	w := &world{
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

// run plays until the request ends and its late frames have arrived.
func (w *world) run() {
	limit := w.start.Add(40 * time.Second)
	for len(w.finishes) == 0 && w.queue.Now().Before(limit) && w.queue.Step() {
	}
	w.queue.RunUntil(w.queue.Now().Add(2 * time.Second))
}

func (w *world) tick() {
	w.queue.After(tick, func() {
		w.update("", teaselstream.Tick{})
		if len(w.finishes) == 0 {
			w.tick()
		}
	})
}

func (w *world) plan(_ time.Time, r teaselstream.PlanRequest) (teaselstream.Plan, bool) {
	w.keep = r.Keep
	p := teaselstream.Plan{FirstToken: prefill, PerToken: perToken}
	for i, group := range replicas {
		from := teaselstream.Layer(i * layerStep)
		h := teaselstream.Hop{From: from, To: from + layerStep}
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

// update gives a message to the relay and carries out its commands.
func (w *world) update(what string, m teaselstream.Msg) {
	w.note("<", what)
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
			w.checkKept(lost, c)
			w.open(c.Request)
		case CancelStream:
			w.note(">", fmt.Sprintf("cancel attempt %d at %s", c.Attempt, c.Address))
			w.cancel(c.Attempt)
		case ProbeChain:
			w.note(">", "probe "+chainText(c.Chain))
			w.probe(c)
		case ExportCache:
			w.note(">", fmt.Sprintf("export the cache of %s", c.Server))
			w.export(c)
		case ReportServer:
			if c.Event != Completed {
				w.note(">", fmt.Sprintf("report %s as %s", c.Server, c.Event))
				lost = append(lost, c.Server)
			}
		case Finish:
			w.finishes = append(w.finishes, c)
			w.note(">", strings.TrimSpace(fmt.Sprintf("finish %s %s with %d tokens, outcome %s", c.Reason, c.Code, c.Tokens, c.Outcome)))
		}
	}
}

func (w *world) emit(c EmitToken) {
	w.note(">", fmt.Sprintf("emit %d %q", c.Index, c.Text))
	w.received = append(w.received, c.Text)
}

// checkKept requires that a replacement keeps the servers that were not lost, whenever a chain was found with them.
func (w *world) checkKept(lost []teaselstream.ServerID, c OpenStream) {
	if len(lost) > 0 && w.keep != nil && len(w.keep) != len(w.last)-len(lost) {
		w.problem("attempt %d keeps %d of %d hops after the loss of %v", c.Request.Attempt, len(w.keep), len(w.last), lost)
	}
	w.last = c.Plan.Chain
}

func (w *world) open(q teaselstream.StreamRequest) {
	w.note(">", fmt.Sprintf("open attempt %d over %s after %d tokens", q.Attempt, chainText(q.Chain), len(q.Emitted)))
	head := q.Chain[0].Server
	if w.down[head] == "crash" {
		w.queue.After(connection, func() {
			w.update(fmt.Sprintf("attempt %d refused by %s", q.Attempt, head), StreamFailed{q.Attempt, fmt.Errorf("refused: %w", teaselstream.ErrUnavailable)})
		})
		return
	}
	w.reached = true
	n := &engineRun{request: q}
	w.runs = append(w.runs, n)
	w.queue.After(prefill/2, func() {
		if w.alive(n, -1) {
			w.queue.After(w.prefillRest(n), func() { w.step(n, len(q.Emitted)) })
		}
	})
}

// prefillRest is short if the replaced stage imports the cache of its predecessor.
func (w *world) prefillRest(n *engineRun) time.Duration {
	for _, h := range n.request.Chain {
		if h.Import != "" {
			return connection
		}
	}
	return prefill / 2
}

// step produces token i and plans the next one.
func (w *world) step(n *engineRun, i int) {
	if n.cancelled || !w.alive(n, i) {
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
	w.queue.After(perToken, func() { w.step(n, i+1) })
}

func tokenText(i int) string { return fmt.Sprintf("t%d", i) }

// alive lets due faults happen and reports whether the whole chain still works.
func (w *world) alive(n *engineRun, i int) bool {
	q := n.request
	for _, f := range w.faults {
		if f.at == i && w.down[f.server] == "" && slices.ContainsFunc(q.Chain, func(h teaselstream.Hop) bool { return h.Server == f.server }) {
			w.note("!", f.kind+" of "+string(f.server))
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

func (w *world) cancel(a teaselstream.Attempt) {
	delay := connection
	if w.chance(w.noise.lateEnd) {
		delay = 500 * time.Millisecond
	}
	for _, n := range w.runs {
		if n.request.Attempt == a {
			w.queue.After(delay, func() { n.cancelled = true })
		}
	}
}

func (w *world) probe(c ProbeChain) {
	w.queue.After(perToken, func() {
		var silent []teaselstream.ServerID
		for _, h := range c.Chain {
			if s := w.down[h.Server]; s == "hang" || s == "crash" {
				silent = append(silent, h.Server)
			}
		}
		w.update(fmt.Sprintf("silent %v", silent), ProbeResult{c.Attempt, silent})
	})
}

func (w *world) export(c ExportCache) {
	w.queue.After(perToken, func() {
		m := CacheExported{Server: c.Server}
		if w.down[c.Server] == "" {
			m.Name, m.Tokens = "cache-"+string(c.Server), teaselstream.TokenIndex(len(w.received))
		}
		w.update(fmt.Sprintf("exported %q at %d tokens", m.Name, m.Tokens), m)
	})
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) note(direction, text string) {
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
