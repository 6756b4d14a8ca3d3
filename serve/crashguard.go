package serve

import (
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
)

// crashGuard connects the sessions of a VM to the state machine of package blame, which finds requests whose content
// crashes servers.
type crashGuard struct {
	// send passes a command of package blame to the VM that it names, or to all VMs; nil means that this VM decides alone.
	send func(teaselstream.Cmd)

	mu       sync.Mutex
	tracker  blame.Tracker
	sessions map[teaselstream.RequestID]*Session
	// withPermits holds the requests that run with permits; waiting holds the sessions that were denied one, oldest first.
	withPermits map[teaselstream.RequestID]bool
	waiting     []*Session
	live        []teaselstream.VMID
	self        teaselstream.VMID
}

// permitFreed tells a session that waits for a permit that a request of this VM has returned one.
type permitFreed struct{}

// checkStart asks whether a session may start on the given servers; the answer, blame.Run, blame.Wait or blame.Refuse, is
// posted to its mailbox.
func (g *crashGuard) checkStart(now time.Time, n *Session, m blame.CheckStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sessions == nil {
		g.sessions = make(map[teaselstream.RequestID]*Session)
		g.withPermits = make(map[teaselstream.RequestID]bool)
	}
	g.sessions[m.Request] = n
	g.update(now, m)
}

// notify handles an event of a request or a message from another VM.
func (g *crashGuard) notify(now time.Time, m teaselstream.Msg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.update(now, m) > 0
	switch m := m.(type) {
	case blame.Progress:
		if cleared {
			g.permitsReturned(m.Request)
		}
	case blame.Lost:
		g.permitsReturned(m.Request)
	case blame.Completed:
		delete(g.sessions, m.Request)
		g.permitsReturned(m.Request)
	case blame.Ended:
		delete(g.sessions, m.Request)
		g.permitsReturned(m.Request)
	}
}

// permitsReturned wakes the session that has waited longest, if the request held permits.
//
// Without this, each request that ran on a lost server would wait out the full back-off after the one before it.
func (g *crashGuard) permitsReturned(id teaselstream.RequestID) {
	if !g.withPermits[id] {
		return
	}
	delete(g.withPermits, id)
	for len(g.waiting) > 0 {
		n := g.waiting[0]
		g.waiting = g.waiting[1:]
		if g.sessions[n.request.ID] == n {
			n.mailbox.post(permitFreed{})
			return
		}
	}
}

func (g *crashGuard) tick(now time.Time, s *teaselstream.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPeers(now, s)
	g.update(now, blame.Tick{})
}

// setPeers tells the tracker which live VMs share the granting of permits.
func (g *crashGuard) setPeers(now time.Time, s *teaselstream.Snapshot) {
	if s == nil {
		return
	}
	live := []teaselstream.VMID{s.VM}
	for _, p := range s.Peers {
		if g.send != nil && p.Alive {
			live = append(live, p.VM)
		}
	}
	// An equally long list may hold other VMs.
	if !slices.Equal(live, g.live) || s.VM != g.self {
		g.live, g.self = live, s.VM
		g.update(now, blame.Peers{Self: s.VM, Live: live})
	}
}

// update passes a message to the tracker, executes the commands that it returns, and returns their number.
func (g *crashGuard) update(now time.Time, m teaselstream.Msg) int {
	cmds := g.tracker.Update(now, m)
	for _, c := range cmds {
		var id teaselstream.RequestID
		switch c := c.(type) {
		case blame.Run:
			id = c.Request
			if c.Alone {
				g.withPermits[id] = true
			}
		case blame.Wait:
			id = c.Request
			if n := g.sessions[id]; n != nil && !slices.Contains(g.waiting, n) {
				g.waiting = append(g.waiting, n)
			}
		case blame.Refuse:
			id = c.Request
		default:
			if g.send != nil {
				g.send(c)
			}
			continue
		}
		if n := g.sessions[id]; n != nil {
			n.mailbox.post(c)
		}
	}
	return len(cmds)
}
