package proxy

import (
	"log/slog"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a request that was planned while a server still took work and that is sent after the end of its drain time, and
// against one that counts as sent although it was withheld (DRAIN).
func TestSendAfterDrainTime(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nmine"
	const drain = 2 * time.Second
	for _, x := range []struct {
		name        string
		leaving     time.Duration
		incarnation teaselstream.Incarnation
		sent        bool
	}{
		{"serving", -1, 1, true},
		{"draining", drain / 2, 1, true},
		{"drain time is over", drain, 1, false},
		{"restarted since", drain, 2, true},
	} {
		address := rawServer(t, answer)
		h := &Handler{Dialect: testDialect{}, Log: slog.New(slog.DiscardHandler), Planner: &chain.Planner{DrainTime: drain}}
		planned := &fleet.Member{Replica: teaselstream.Replica{ID: "a", Incarnation: 1, Address: address}}
		now := &fleet.Member{Replica: planned.Replica}
		now.Incarnation = x.incarnation
		if x.leaving >= 0 {
			now.LeavingSince = time.Now().Add(-x.leaving)
		}
		h.View = func() *fleet.View {
			return &fleet.View{Members: map[teaselstream.ServerID]*fleet.Member{"a": now}}
		}
		got, err := sendTo(t, h, planned)
		if x.sent != (got == "mine") || !x.sent && !notSent(err) {
			t.Errorf("%s: answer %q, error %v, not sent %t; want sent %t", x.name, got, err, notSent(err), x.sent)
		}
	}
}
