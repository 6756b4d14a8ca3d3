package serve

import (
	"strings"
	"sync"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/relay"
)

// stuckChainThreshold is the number of different chains through a server that must stall, with no completed chain through
// it in between, before the server is reported as stalled. Repeated stalls of one chain do not show which of its servers
// is stuck.
const stuckChainThreshold = 2

// stallTracker forwards events about servers, and identifies the stuck server that several stalled chains share.
type stallTracker struct {
	report func(teaselstream.ServerID, relay.Event)

	mu sync.Mutex
	// stalls maps each server to the chains through it that have stalled since it last completed one.
	stalls map[teaselstream.ServerID]map[string]bool
}

// record handles an event of a server in a chain.
func (t *stallTracker) record(s teaselstream.ServerID, chain []teaselstream.Hop, x relay.Event) {
	if t.isStuck(s, chain, x) {
		x = relay.Stalled
	}
	if t.report != nil {
		t.report(s, x)
	}
}

// isStuck reports whether an unexplained stall can now be attributed to the server.
func (t *stallTracker) isStuck(s teaselstream.ServerID, chain []teaselstream.Hop, x relay.Event) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch x {
	case relay.Completed:
		delete(t.stalls, s)
	case relay.Unexplained:
		if t.stalls == nil {
			t.stalls = make(map[teaselstream.ServerID]map[string]bool)
		}
		if t.stalls[s] == nil {
			t.stalls[s] = make(map[string]bool)
		}
		t.stalls[s][chainKey(chain)] = true
		return len(t.stalls[s]) >= stuckChainThreshold
	}
	return false
}

func chainKey(chain []teaselstream.Hop) string {
	names := make([]string, len(chain))
	for i, h := range chain {
		names[i] = string(h.Server)
	}
	return strings.Join(names, " ")
}
