package member

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// suspected passes on a report that a server is slow or wrong, once per source and cause.
func (s *Members) suspected(now time.Time, v *server, x NoticeReceived) []teaselstream.Cmd {
	n := x.Notice
	if n.Source == s.c.VM || v.suspicions[n.Source] == n.Cause {
		return nil
	}
	if v.suspicions == nil {
		v.suspicions = map[teaselstream.VMID]string{}
	}
	v.suspicions[n.Source] = n.Cause
	if n.Cause == "" {
		delete(v.suspicions, n.Source)
	}
	return append(s.forward(now, n, x.From), PeerSuspicion{
		VM: n.Source, Server: v.Name, Incarnation: n.Incarnation, Cause: n.Cause,
	})
}
