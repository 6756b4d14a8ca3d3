package proxy

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a sound server that is silent for a moment being taken for one that was cut off, so that streams run on more servers
// than their routes allow (BUDGET); and against one that was cut off for good, or has ended, counting against them.
func TestGone(t *testing.T) {
	now := time.Unix(1000, 0)
	down := func(age time.Duration, ended bool) *fleet.Member {
		m := &fleet.Member{State: fleet.Down, DownSince: now.Add(-age), Ended: ended}
		m.Incarnation = 2
		return m
	}
	restarted := &fleet.Member{}
	restarted.Incarnation = 3
	serving := &fleet.Member{}
	serving.Incarnation = 2
	leaving := &fleet.Member{State: fleet.Leaving}
	leaving.Incarnation = 2
	for _, x := range []struct {
		name string
		m    *fleet.Member
		want bool
	}{
		{"serving", serving, false},
		{"leaving", leaving, false},
		{"silent since just now", down(0, false), false},
		{"silent for a second", down(time.Second, false), false},
		{"silent for longer", down(soundSilence, false), true},
		{"refuses connections", down(0, true), true},
		{"restarted", restarted, true},
		{"removed", nil, true},
	} {
		v := &fleet.View{Members: make(map[teaselstream.ServerID]*fleet.Member)}
		if x.m != nil {
			v.Members["a"] = x.m
		}
		p := &streamPlanner{request: &request{handler: &Handler{View: func() *fleet.View { return v }}}}
		if got := p.Gone(now, "a", 2); got != x.want {
			t.Errorf("%s: Gone() = %t, want %t", x.name, got, x.want)
		}
	}
}
