package relay

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// handleLeaving exports the KV cache of a leaving server, so that its successor need not compute it again.
func (r *Relay) handleLeaving(now time.Time, s teaselstream.ServerID) {
	if r.exports[s] != nil {
		return
	}
	if r.exports == nil {
		r.exports = make(map[teaselstream.ServerID]*export)
	}
	x := &export{leavingSince: now}
	r.exports[s] = x
	r.requestExport(s, x)
}

// refreshExports requests a new export from each leaving server whose last one is maxExportLag tokens behind the answer.
func (r *Relay) refreshExports() {
	if len(r.exports) == 0 {
		return
	}
	for _, h := range r.plan.Chain {
		x := r.exports[h.Server]
		if x != nil && !x.inFlight && len(r.emitted)-x.requestedTokens >= maxExportLag {
			r.requestExport(h.Server, x)
		}
	}
}

func (r *Relay) requestExport(s teaselstream.ServerID, x *export) {
	if r.state != streaming {
		return
	}
	for _, h := range r.plan.Chain {
		if h.Server == s {
			x.inFlight, x.requestedTokens = true, len(r.emitted)
			r.command(ExportCache{Server: s, Address: h.Address})
		}
	}
}

func (r *Relay) handleExported(now time.Time, m CacheExported) {
	x := r.exports[m.Server]
	if x == nil {
		return
	}
	x.inFlight = false
	if m.Name == "" {
		return
	}
	x.name, x.tokens = m.Name, m.Tokens
	if r.state == streaming && now.Sub(x.leavingSince) >= r.config.MoveAfter {
		r.moveFrom(now, m.Server)
	}
}

// moveFrom replaces a leaving server by one that imports the exported cache.
// If no server can take over its layers, the stream stays on it.
func (r *Relay) moveFrom(now time.Time, s teaselstream.ServerID) {
	i := slices.IndexFunc(r.plan.Chain, func(h teaselstream.Hop) bool { return h.Server == s })
	if i < 0 {
		return
	}
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	r.avoid[s] = true
	remainingHops := r.remainingHops([]teaselstream.ServerID{s})
	if _, ok := r.planChain(now, remainingHops); !ok {
		delete(r.avoid, s)
		return
	}
	r.cancelAttempt()
	r.openAttempt(now, remainingHops)
}

// usableExport returns the name of the export that a replacement hop can import, or "" if it must compute the cache again.
func (r *Relay) usableExport(h teaselstream.Hop) string {
	for _, old := range r.plan.Chain {
		if old.Server == h.Server || old.From != h.From || old.To != h.To {
			continue
		}
		x := r.exports[old.Server]
		if x != nil && x.name != "" && len(r.emitted)-int(x.tokens) <= maxExportLag {
			return x.name
		}
	}
	return ""
}
