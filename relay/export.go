package relay

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

// leaving starts to export the KV cache that a leaving server holds, so that its range can move without a recompute.
func (r *Relay) leaving(now time.Time, s teaselstream.ServerID) {
	if r.exports[s] != nil {
		return
	}
	if r.exports == nil {
		r.exports = make(map[teaselstream.ServerID]*export)
	}
	x := &export{since: now}
	r.exports[s] = x
	r.ask(s, x)
}

// renewExports exports again when the answer has grown past what an export covers.
func (r *Relay) renewExports() {
	if len(r.exports) == 0 {
		return
	}
	for _, h := range r.plan.Chain {
		x := r.exports[h.Server]
		if x != nil && !x.inFlight && len(r.emitted)-x.asked >= freshTokens {
			r.ask(h.Server, x)
		}
	}
}

func (r *Relay) ask(s teaselstream.ServerID, x *export) {
	if r.state != streaming {
		return
	}
	for _, h := range r.plan.Chain {
		if h.Server == s {
			x.inFlight, x.asked = true, len(r.emitted)
			r.put(ExportCache{Server: s, Address: h.Address})
		}
	}
}

func (r *Relay) exported(now time.Time, m CacheExported) {
	x := r.exports[m.Server]
	if x == nil {
		return
	}
	x.inFlight = false
	if m.Name == "" {
		return
	}
	x.name, x.tokens = m.Name, m.Tokens
	if r.state == streaming && now.Sub(x.since) >= r.config.MoveAfter {
		r.move(now, m.Server)
	}
}

// move replaces a leaving server while it still answers, so that its successor can import the cache from it.
// Without a successor the stream stays where it is.
func (r *Relay) move(now time.Time, s teaselstream.ServerID) {
	i := slices.IndexFunc(r.plan.Chain, func(h teaselstream.Hop) bool { return h.Server == s })
	if i < 0 {
		return
	}
	if r.avoid == nil {
		r.avoid = make(map[teaselstream.ServerID]bool)
	}
	r.avoid[s] = true
	keep := r.keep([]teaselstream.ServerID{s})
	if _, ok := r.choose(now, keep); !ok {
		delete(r.avoid, s)
		return
	}
	r.cancel()
	r.open(now, keep)
}

// freshExport returns the export to import for a hop that replaces a lost one, or "" to recompute.
func (r *Relay) freshExport(h teaselstream.Hop) string {
	for _, old := range r.plan.Chain {
		if old.Server == h.Server || old.From != h.From || old.To != h.To {
			continue
		}
		x := r.exports[old.Server]
		if x != nil && x.name != "" && len(r.emitted)-int(x.tokens) <= freshTokens {
			return x.name
		}
	}
	return ""
}
