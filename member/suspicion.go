package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// applySuspicion reports and forwards another VM's suspicion that a server is slow or wrong, once per source and cause.
func (s *Members) applySuspicion(now time.Time, v *server, x NoticeReceived) []teaselstream.Cmd {
	n := x.Notice
	if n.Source == s.config.VM || v.suspicions[n.Source] == n.Cause {
		return nil
	}
	if v.suspicions == nil {
		v.suspicions = map[teaselstream.VMID]string{}
	}
	v.suspicions[n.Source] = n.Cause
	if n.Cause == "" {
		delete(v.suspicions, n.Source)
	}
	return append(s.gossip(now, n, x.From), PeerSuspicion{
		VM: n.Source, Server: v.Name, Incarnation: n.Incarnation, Cause: n.Cause,
	})
}
