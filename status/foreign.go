package status

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// foreignObservers holds what an observer knows of those of other failure domains; its zero value works.
type foreignObservers struct {
	mu sync.Mutex
	// base is the context of all exchanges, which cancel ends.
	base    context.Context
	cancel  context.CancelFunc
	running map[teaselstream.DomainID]bool
	// current holds the VM that last answered for each domain.
	current map[teaselstream.DomainID]fleet.Peer
}

// stop ends all exchanges with other domains.
func (f *foreignObservers) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
	f.base, f.cancel, f.running, f.current = nil, nil, nil, nil
}

func (f *foreignObservers) set(d teaselstream.DomainID, p fleet.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		f.current[d] = p
	}
}

func (f *foreignObservers) get(d teaselstream.DomainID) (fleet.Peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.current[d]
	return p, ok
}

// askForeign starts an exchange with the observer of each other domain that has none yet.
func (s *Service) askForeign(ctx context.Context) {
	var domains []teaselstream.DomainID
	for _, p := range s.Peers() {
		if p.Domain != s.Self.Domain && !slices.Contains(domains, p.Domain) {
			domains = append(domains, p.Domain)
		}
	}
	f := &s.foreign
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		f.base, f.cancel = context.WithCancel(ctx)
		f.running, f.current = make(map[teaselstream.DomainID]bool), make(map[teaselstream.DomainID]fleet.Peer)
	}
	for _, d := range domains {
		if !f.running[d] {
			f.running[d] = true
			go s.followForeign(f.base, d)
		}
	}
}

// followForeign passes the records of another domain's observer on to this VM and its domain until ctx ends.
func (s *Service) followForeign(ctx context.Context, d teaselstream.DomainID) {
	var boot, seq uint64
	pausedUntil := make(map[teaselstream.VMID]time.Time)
	for ctx.Err() == nil {
		answered := false
		for _, p := range observers(d, s.Peers()) {
			if time.Now().Before(pausedUntil[p.Name]) {
				continue
			}
			a, err := s.exchange(ctx, p, Ask{VM: s.Self.Name, Domain: s.Self.Domain, Boot: boot, After: seq})
			if err != nil {
				pausedUntil[p.Name] = time.Now().Add(pauseAfter(err))
				if ctx.Err() == nil {
					s.Log.Info("ForeignObserverFailed", "domain", string(d), "observer", string(p.Name), "error", err.Error())
				}
				continue
			}
			answered = true
			boot, seq = a.Boot, a.Seq
			s.foreign.set(d, p)
			s.relay(p, a)
			break
		}
		if !answered {
			pause(ctx, retryPause)
			continue
		}
		pause(ctx, askSpacing)
	}
}

// relay passes the records of another domain's observer on.
func (s *Service) relay(p fleet.Peer, a Answer) {
	now := time.Now()
	for _, r := range a.Records {
		s.journal.add(now.Add(-r.Age), r, false, true)
	}
	s.Post(observedMessage(p, a))
}

// takeStalls passes reports of streams that stand still on to this VM's Observer, and once to the observers of the other domains whose servers
// are part of a path.
func (s *Service) takeStalls(q Stall) {
	foreign := make(map[teaselstream.DomainID][][]teaselstream.ServerID)
	for _, path := range q.Paths {
		s.Post(StreamStalled{Servers: path})
		if q.Forwarded {
			continue
		}
		parts := make(map[teaselstream.DomainID][]teaselstream.ServerID)
		for _, id := range path {
			if d := s.DomainOf(id); d != "" && d != s.Self.Domain {
				parts[d] = append(parts[d], id)
			}
		}
		for d, ids := range parts {
			foreign[d] = append(foreign[d], ids)
		}
	}
	for d, paths := range foreign {
		if p, ok := s.foreign.get(d); ok {
			go s.forwardStalls(p, Stall{Paths: paths, Forwarded: true})
		}
	}
}

func (s *Service) forwardStalls(p fleet.Peer, q Stall) {
	body, err := encode(q)
	if err == nil {
		_, err = s.call(context.Background(), p, stallPath, body, urgentTimeout)
	}
	if err != nil {
		s.Log.Info("ForeignObserverFailed", "domain", string(p.Domain), "observer", string(p.Name), "error", err.Error())
	}
}
