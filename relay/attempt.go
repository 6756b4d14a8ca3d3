package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// open starts the next attempt and keeps the given hops where a chain allows it.
func (r *Relay) open(now time.Time, keep []teaselstream.Hop) {
	p, ok := r.choose(now, keep)
	if !ok {
		r.await(now)
		return
	}
	for i := range p.Chain {
		p.Chain[i].Import = r.freshExport(p.Chain[i])
	}
	r.waitSince = time.Time{}
	r.state = streaming
	r.attempt++
	r.plan = p
	r.opened++
	r.sequence, r.received, r.progress = 0, 0, now
	r.probed, r.silent, r.held = false, nil, nil
	q := r.config.Request
	q.Attempt, q.Chain, q.Emitted = r.attempt, p.Chain, slices.Clone(r.emitted)
	r.put(OpenStream{Request: q, Plan: p})
}

func (r *Relay) choose(now time.Time, keep []teaselstream.Hop) (teaselstream.Plan, bool) {
	q := teaselstream.PlanRequest{
		Model: r.config.Request.Model, PromptTokens: r.config.PromptTokens,
		MaxTokens: r.config.Request.MaxTokens - len(r.emitted),
		Prefixes:  r.config.Prefixes, Keep: keep, Avoid: r.avoid,
	}
	p, ok := r.config.Plan(now, q)
	if ok || len(keep) == 0 {
		return clonePlan(p), ok
	}
	q.Keep = nil
	p, ok = r.config.Plan(now, q)
	return clonePlan(p), ok
}

func clonePlan(p teaselstream.Plan) teaselstream.Plan {
	p.Chain = slices.Clone(p.Chain)
	return p
}

// await waits for a chain if the request has run already, and refuses it otherwise.
func (r *Relay) await(now time.Time) {
	if r.waitSince.IsZero() {
		r.waitSince = now
		r.state = waiting
	}
	waited := now.Sub(r.waitSince)
	if waited >= forgetAfter {
		clear(r.avoid)
	}
	if r.attempt == 0 || waited >= r.config.RouteTimeout {
		r.fail(teaselstream.CodeNoRoute, "no chain of servers covers the model", time.Second)
	}
}

// replace ends the current attempt and starts the next one without the given server.
func (r *Relay) replace(now time.Time, bad teaselstream.ServerID, e Event) {
	r.cancel()
	r.replaceAll(now, []teaselstream.ServerID{bad}, e)
}

func (r *Relay) replaceAll(now time.Time, bad []teaselstream.ServerID, e Event) {
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	for _, s := range bad {
		r.avoid[s] = true
		r.put(ReportServer{Server: s, Event: e})
	}
	if r.fruitless++; r.fruitless >= r.config.MaxAttempts {
		r.fail(teaselstream.CodeServerLost, "too many attempts were lost", time.Second)
		return
	}
	if len(r.emitted) == 0 && r.config.MayRetry != nil && !r.config.MayRetry(now) {
		r.fail(teaselstream.CodeServerLost, "a server was lost and the retry budget is spent", time.Second)
		return
	}
	r.open(now, r.keep(bad))
}

// keep returns the hops of the current chain without the given servers.
func (r *Relay) keep(bad []teaselstream.ServerID) []teaselstream.Hop {
	var keep []teaselstream.Hop
	for _, h := range r.plan.Chain {
		if !slices.Contains(bad, h.Server) {
			keep = append(keep, teaselstream.Hop{Server: h.Server, Address: h.Address, From: h.From, To: h.To})
		}
	}
	return keep
}

func (r *Relay) lost(now time.Time, e teaselstream.LostEvent) {
	if !r.mine(e.Request, e.Attempt) {
		r.counts.Stale++
		return
	}
	server := e.Server
	if i := int(e.Stage); server == "" && i >= 0 && i < len(r.plan.Chain) {
		server = r.plan.Chain[i].Server
	}
	if !slices.ContainsFunc(r.plan.Chain, func(h teaselstream.Hop) bool { return h.Server == server }) {
		server = r.head()
	}
	r.replace(now, server, lossEvent(e.Reason))
}

func (r *Relay) failed(now time.Time, m StreamFailed) {
	if m.Attempt != r.attempt || r.state != streaming {
		return
	}
	event := Reset
	var refusal *teaselstream.Error
	switch {
	case errors.Is(m.Err, teaselstream.ErrUnavailable):
		r.opened--
		event = Refused
		if isTimeout(m.Err) {
			event = Unreachable
		}
	case errors.As(m.Err, &refusal) && refusal.Code == teaselstream.CodeBadRequest:
		r.state = idle
		r.fail(refusal.Code, refusal.Message, 0)
		return
	case refusal != nil:
		event = Busy
	}
	if event == Refused || event == Unreachable {
		r.state = idle
	}
	r.replace(now, r.head(), event)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// checkStall asks which stages still answer shortly before the limit, and replaces the silent ones at the limit.
func (r *Relay) checkStall(now time.Time) {
	limit := r.config.StallTimeout
	if r.received == 0 {
		// Until the first token the engine may queue and prefill as long as the plan foresaw.
		limit += 2 * r.plan.FirstToken
	}
	quiet := now.Sub(r.progress)
	if quiet >= limit {
		r.cancel()
		if len(r.silent) > 0 {
			r.replaceAll(now, r.silent, Stalled)
			return
		}
		r.replaceAll(now, r.replaceable(now), Unexplained)
		return
	}
	if !r.probed && quiet >= limit-time.Duration((1-probeShare)*float64(r.config.StallTimeout)) {
		r.probed = true
		r.put(ProbeChain{Attempt: r.attempt, Chain: r.plan.Chain})
	}
}

// replaceable returns the servers of a stalled chain whose servers all answer, but for those that have no substitute.
func (r *Relay) replaceable(now time.Time) []teaselstream.ServerID {
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	var bad []teaselstream.ServerID
	for _, h := range r.plan.Chain {
		r.avoid[h.Server] = true
		if _, ok := r.choose(now, nil); !ok {
			delete(r.avoid, h.Server)
			continue
		}
		bad = append(bad, h.Server)
	}
	return bad
}

func (r *Relay) head() teaselstream.ServerID {
	if len(r.plan.Chain) == 0 {
		return ""
	}
	return r.plan.Chain[0].Server
}
