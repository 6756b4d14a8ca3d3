package proxy

import (
	"sync/atomic"
	"testing"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a running request that loses its service, or its kind, by a change of the configuration while it is between two
// attempts: the caller of a stream that may be resumed was cut off (LOST).
func TestServiceVanishesBetweenAttempts(t *testing.T) {
	for name, change := range map[string]func(*teaselstream.Routing){
		"service":      func(r *teaselstream.Routing) { delete(r.Pools, "model") },
		"engine":       func(r *teaselstream.Routing) { r.Pools["model"] = &teaselstream.Pool{Service: "model"} },
		"route":        func(r *teaselstream.Routing) { r.Hosts = nil },
		"nothing else": func(*teaselstream.Routing) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var view atomic.Pointer[fleet.View]
			s := &scriptedReplica{texts: []string{partOfStream, restOfStream}}
			s.before = func(n int) {
				if n != 1 {
					return
				}
				v := *view.Load()
				routing := *v.Routing
				routing.Pools = map[teaselstream.ServiceID]*teaselstream.Pool{"model": v.Routing.Pools["model"], "plain": v.Routing.Pools["plain"]}
				change(&routing)
				v.Routing = &routing
				view.Store(&v)
			}
			view.Store(handlerView(startReplica(t, s)))
			if got, want := askOnce(t, view.Load, "/resumed"), "200 id: 1\ndata\n\nid: 2\ndata\n\n"; got != want {
				t.Errorf("the caller has %q, want %q", got, want)
			}
		})
	}
}
