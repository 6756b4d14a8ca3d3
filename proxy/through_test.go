package proxy

import (
	"slices"
	"testing"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a VM that is cut off from its servers and sends everything through one other VM that is cut off too and does not know
// it, while a third one would carry the exchanges (RECOVER). A soak with two builds side by side lost 175 of 235 exchanges that way.
func TestVMThatCarriesNothing(t *testing.T) {
	const mine = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nmine"
	const exchanges = 20
	for _, x := range []struct {
		name string
		// answer is what the VM that carries nothing answers to each exchange; an empty one breaks the connection off.
		answer    string
		maxFailed int
	}{
		{"breaks off", "", 2},
		{"cannot connect", "HTTP/1.1 503 Service Unavailable\r\n" + detour.HeaderResult + ": " + detour.ResultNotSent + "\r\nContent-Length: 0\r\n\r\n", 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			var servers []*fleet.Member
			known := make(map[teaselstream.ServerID]*fleet.Member)
			for _, id := range []teaselstream.ServerID{"a", "b"} {
				m := &fleet.Member{Replica: teaselstream.Replica{ID: id, Incarnation: 1, Address: rawServer(t, slices.Repeat([]string{mine}, exchanges)...)}}
				known[id] = m
				servers = append(servers, m)
			}
			carrier := testVM(false, servers[0], "")
			carrier.View = func() *fleet.View { return &fleet.View{Members: known} }
			peers := []fleet.Peer{
				{Name: "vm-a", Domain: "near"}, {Name: "vm-b", Domain: "near", Relay: rawServer(t, slices.Repeat([]string{x.answer}, exchanges)...)},
				{Name: "vm-c", Domain: "far", Relay: serveCarry(t, carrier)},
			}
			h := testVM(true, servers[0], "")
			h.Detour.Peers = func() []fleet.Peer { return peers }
			failed := 0
			for i := range exchanges {
				if got, err := sendTo(t, h, servers[i%len(servers)]); got != "mine" {
					failed++
					t.Logf("exchange %d: answer %q, error %v", i, got, err)
				}
			}
			if failed > x.maxFailed {
				t.Errorf("%d of %d exchanges failed, want at most %d", failed, exchanges, x.maxFailed)
			}
		})
	}
}
