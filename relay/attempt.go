package relay

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// openAttempt starts the next attempt over a new chain, which contains the given hops if such a chain exists.
func (r *Relay) openAttempt(now time.Time, keep []teaselstream.Hop) {
	p, ok := r.planChain(now, keep)
	if !ok {
		r.waitForChain(now)
		return
	}
	for i := range p.Chain {
		p.Chain[i].Import = r.usableExport(p.Chain[i])
	}
	r.waitingSince = time.Time{}
	r.state = streaming
	r.attempt++
	r.plan = p
	r.sentAttempts++
	r.sequence, r.received, r.lastProgress = 0, 0, now
	r.probed, r.silent, r.heldFrames = false, nil, nil
	r.nextStallCheck = time.Time{}
	q := r.config.Request
	q.Attempt, q.Chain, q.Emitted = r.attempt, p.Chain, slices.Clone(r.emitted)
	r.command(OpenStream{Request: q, Plan: p})
}

// planChain plans a chain with the given hops, and one without them if there is none.
func (r *Relay) planChain(now time.Time, keep []teaselstream.Hop) (teaselstream.Plan, bool) {
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

// waitForChain makes ticks plan again until RouteTimeout; before the first attempt it refuses the request at once.
func (r *Relay) waitForChain(now time.Time) {
	if r.waitingSince.IsZero() {
		r.waitingSince = now
		r.state = waiting
	}
	waited := now.Sub(r.waitingSince)
	if waited >= retryLostAfter {
		clear(r.avoid)
	}
	if r.attempt == 0 || waited >= r.config.RouteTimeout {
		r.finishWithError(teaselstream.CodeNoRoute, "no chain of servers covers the model", time.Second)
	}
}

// replaceServer cancels the current attempt and starts the next one without the given server.
func (r *Relay) replaceServer(now time.Time, bad teaselstream.ServerID, e Event) {
	r.cancelAttempt()
	r.replaceServers(now, []teaselstream.ServerID{bad}, e)
}

// replaceServers reports the given servers and starts the next attempt without them, unless the attempts or the
// retry budget are used up.
func (r *Relay) replaceServers(now time.Time, bad []teaselstream.ServerID, e Event) {
	r.avoidServers(bad)
	r.reportServers(bad, e)
	if r.attemptsWithoutToken++; r.attemptsWithoutToken >= r.config.MaxAttempts {
		// Only attempts in a row that failed without a new token are counted.
		r.finishWithError(teaselstream.CodeServerLost, "too many attempts were lost", time.Second)
		return
	}
	if !r.mayRetry(now) {
		r.finishWithError(teaselstream.CodeServerLost, "a server was lost and the retry budget is spent", time.Second)
		return
	}
	r.openAttempt(now, r.remainingHops(bad))
}

func (r *Relay) avoidServers(bad []teaselstream.ServerID) {
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	for _, s := range bad {
		r.avoid[s] = true
	}
}

func (r *Relay) reportServers(bad []teaselstream.ServerID, e Event) {
	for _, s := range bad {
		r.command(ReportServer{Server: s, Event: e})
	}
}

// mayRetry reports whether the retry budget allows another attempt, and charges it before the first token.
func (r *Relay) mayRetry(now time.Time) bool {
	return len(r.emitted) > 0 || r.config.MayRetry == nil || r.config.MayRetry(now)
}

// remainingHops returns the hops of the current chain that do not run on the given servers.
func (r *Relay) remainingHops(bad []teaselstream.ServerID) []teaselstream.Hop {
	var remainingHops []teaselstream.Hop
	for _, h := range r.plan.Chain {
		if !slices.Contains(bad, h.Server) {
			remainingHops = append(remainingHops, teaselstream.Hop{Server: h.Server, Address: h.Address, From: h.From, To: h.To})
		}
	}
	return remainingHops
}

func (r *Relay) handleLost(now time.Time, e teaselstream.LostEvent) {
	if !r.isCurrent(e.Request, e.Attempt) {
		r.counts.Stale++
		return
	}
	server := e.Server
	if i := int(e.Stage); server == "" && i >= 0 && i < len(r.plan.Chain) {
		server = r.plan.Chain[i].Server
	}
	if !slices.ContainsFunc(r.plan.Chain, func(h teaselstream.Hop) bool { return h.Server == server }) {
		server = r.headServer()
	}
	r.replaceServer(now, server, lossEvent(e.Reason))
}

func (r *Relay) handleStreamFailed(now time.Time, m StreamFailed) {
	if m.Attempt != r.attempt || r.state != streaming {
		return
	}
	event := Reset
	var refusal *teaselstream.Error
	switch {
	case errors.Is(m.Err, teaselstream.ErrUnavailable):
		r.sentAttempts--
		event = Refused
		if isTimeout(m.Err) {
			event = Unreachable
		}
	case errors.As(m.Err, &refusal) && refusal.Code == teaselstream.CodeBadRequest:
		r.state = idle
		r.finishWithError(refusal.Code, refusal.Message, 0)
		return
	case refusal != nil:
		event = Busy
	}
	if event == Refused || event == Unreachable {
		r.state = idle
	}
	r.replaceServer(now, r.headServer(), event)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// checkStall probes the chain shortly before the stall limit, and handles the stall at the limit.
func (r *Relay) checkStall(now time.Time) {
	limit := r.config.StallTimeout
	if r.received == 0 {
		// Before the first token the engine queues and prefills, which may take twice the planned time.
		limit += 2 * r.plan.FirstToken
	}
	limitAt := r.lastProgress.Add(limit)
	checkAt := limitAt
	if r.nextStallCheck.After(checkAt) {
		checkAt = r.nextStallCheck
	}
	if !now.Before(checkAt) {
		r.handleStall(now, now.Sub(limitAt))
		return
	}
	if !r.probed && !now.Before(checkAt.Add(-time.Duration((1-probeFraction)*float64(r.config.StallTimeout)))) {
		r.probed = true
		r.command(ProbeChain{Attempt: r.attempt, Chain: r.plan.Chain})
	}
}

// handleStall replaces the servers that did not answer the probe or, if all did, each server that has a substitute. The argument
// overdue is the time since the stall limit.
//
// A sound server may pause for longer than the limit. If no other attempt is possible now, the attempt goes on and is checked again, for
// as long as a request without an attempt would wait for a chain.
func (r *Relay) handleStall(now time.Time, overdue time.Duration) {
	if overdue >= retryLostAfter {
		clear(r.avoid)
	}
	avoid := maps.Clone(r.avoid)
	bad, event := r.silent, Stalled
	if len(bad) == 0 {
		bad, event = r.substitutableServers(now), Unexplained
	}
	r.avoidServers(bad)
	_, hasChain := r.planChain(now, nil)
	switch {
	case len(bad) > 0 && hasChain && r.attemptsWithoutToken+1 < r.config.MaxAttempts && r.mayRetry(now):
		r.cancelAttempt()
		r.attemptsWithoutToken++
		r.reportServers(bad, event)
		r.openAttempt(now, r.remainingHops(bad))
	case overdue < r.config.RouteTimeout:
		r.avoid = avoid
		r.keepStalled(now, bad, event)
	case !hasChain:
		r.finishWithError(teaselstream.CodeNoRoute, "no chain of servers covers the model", time.Second)
	default:
		r.cancelAttempt()
		r.replaceServers(now, bad, event)
	}
}

// keepStalled goes on with an attempt that has stalled, and probes its chain again before the next check.
func (r *Relay) keepStalled(now time.Time, bad []teaselstream.ServerID, e Event) {
	if r.nextStallCheck.Before(r.lastProgress) {
		// One report for each pause: the health checks need it although the attempt goes on.
		r.reportServers(bad, e)
	}
	r.probed, r.silent = false, nil
	r.nextStallCheck = now.Add(r.config.StallTimeout)
}

// substitutableServers returns the servers of the current chain that have a substitute, and avoids them from now on.
func (r *Relay) substitutableServers(now time.Time) []teaselstream.ServerID {
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	var bad []teaselstream.ServerID
	for _, h := range r.plan.Chain {
		r.avoid[h.Server] = true
		if _, ok := r.planChain(now, nil); !ok {
			delete(r.avoid, h.Server)
			continue
		}
		bad = append(bad, h.Server)
	}
	return bad
}

// headServer returns the first server of the chain, or "" if there is no chain.
func (r *Relay) headServer() teaselstream.ServerID {
	if len(r.plan.Chain) == 0 {
		return ""
	}
	return r.plan.Chain[0].Server
}
