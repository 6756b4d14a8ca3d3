package serve

import (
	"slices"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/blame"
)

// guard runs the core that finds requests whose content crashes servers.
type guard struct {
	// send passes a command of package blame to the VM that it names, or to all; nil keeps judgements on this VM.
	send func(teaselstream.Cmd)

	mu       sync.Mutex
	ledger   blame.Tracker
	sessions map[teaselstream.RequestID]*Session
	// alone holds the requests that run with permits; waiting those that were denied one, oldest first.
	alone   map[teaselstream.RequestID]bool
	waiting []*Session
	live    int
	self    teaselstream.VMID
}

// askAgain tells a session that waits for a permit that one was returned on this VM.
type askAgain struct{}

// ask requests permission for a session to start on servers; its mailbox gets blame.Run, blame.Wait or blame.Refuse.
func (g *guard) ask(now time.Time, n *Session, m blame.CheckStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sessions == nil {
		g.sessions = make(map[teaselstream.RequestID]*Session)
		g.alone = make(map[teaselstream.RequestID]bool)
	}
	g.sessions[m.Request] = n
	g.update(now, m)
}

// tell passes what happened to a request, or a message of another VM.
func (g *guard) tell(now time.Time, m teaselstream.Msg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.update(now, m) > 0
	switch m := m.(type) {
	case blame.Progress:
		if cleared {
			g.returned(m.Request)
		}
	case blame.Lost:
		g.returned(m.Request)
	case blame.Completed:
		delete(g.sessions, m.Request)
		g.returned(m.Request)
	case blame.Ended:
		delete(g.sessions, m.Request)
		g.returned(m.Request)
	}
}

// returned wakes the session that has waited longest if the request held permits.
//
// Without it each of the requests on a lost server would wait for the full back-off of its predecessor.
func (g *guard) returned(id teaselstream.RequestID) {
	if !g.alone[id] {
		return
	}
	delete(g.alone, id)
	for len(g.waiting) > 0 {
		n := g.waiting[0]
		g.waiting = g.waiting[1:]
		if g.sessions[n.request.ID] == n {
			n.mailbox.post(askAgain{})
			return
		}
	}
}

func (g *guard) tick(now time.Time, s *teaselstream.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPeers(now, s)
	g.update(now, blame.Tick{})
}

// setPeers gives the ledger the VMs among which permits are divided.
func (g *guard) setPeers(now time.Time, s *teaselstream.Snapshot) {
	if s == nil {
		return
	}
	live := []teaselstream.VMID{s.VM}
	for _, p := range s.Peers {
		if g.send != nil && p.Alive {
			live = append(live, p.VM)
		}
	}
	if len(live) != g.live || s.VM != g.self {
		g.live, g.self = len(live), s.VM
		g.update(now, blame.Peers{Self: s.VM, Live: live})
	}
}

// update returns the number of commands that followed.
func (g *guard) update(now time.Time, m teaselstream.Msg) int {
	cmds := g.ledger.Update(now, m)
	for _, c := range cmds {
		var id teaselstream.RequestID
		switch c := c.(type) {
		case blame.Run:
			id = c.Request
			if c.Alone {
				g.alone[id] = true
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
