package detour

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/fleet"
)

// lastRand always chooses the last of several.
type lastRand struct{}

func (lastRand) Float64() float64 { return 0 }
func (lastRand) IntN(n int) int   { return n - 1 }

// Guards against exchanges that go to a VM that has just refused one, to a VM without a listener, to this VM itself, or to another
// failure domain while one of this domain takes exchanges; and against VMs that are put aside for good.
func TestChoose(t *testing.T) {
	peers := []fleet.Peer{
		{Name: "me", Domain: "a", Relay: "me:1"}, {Name: "old", Domain: "a"}, {Name: "near-1", Domain: "a", Relay: "n:1"},
		{Name: "near-2", Domain: "a", Relay: "n:2"}, {Name: "far", Domain: "b", Relay: "f:1"},
	}
	isolated := true
	c := &Chooser{Self: "me", Isolated: func() bool { return isolated }, Peers: func() []fleet.Peer { return peers }, Rand: lastRand{}}
	now := time.Unix(1000, 0)
	var got []string
	choose := func() {
		p, ok := c.Choose(now)
		if !ok {
			p.Name = "none"
		}
		got = append(got, string(p.Name))
		if ok {
			c.PutAside(now, p.Name)
		}
	}
	for range 4 {
		choose()
	}
	now = now.Add(asideTime)
	choose()
	if s := strings.Join(got, " "); s != "near-2 near-1 far none near-2" {
		t.Errorf("chosen: %s", s)
	}
	if !c.Active() {
		t.Error("an isolated VM with others does not send through them")
	}
	peers = peers[:2]
	if c.Active() {
		t.Error("an isolated VM without others sends through them")
	}
	isolated = false
	if c.Active() || (*Chooser)(nil).Active() {
		t.Error("a VM that reaches servers sends through others")
	}
}

// Guards against an answer of another VM that is taken for one of the server.
func TestResultError(t *testing.T) {
	for result, want := range map[string]error{"": nil, ResultRefused: ErrNoVM, ResultNotSent: ErrNotSent, ResultWithheld: ErrWithheld, "x": ErrNoVM} {
		if err := ResultError(result); !errors.Is(err, want) || (err == nil) != (want == nil) {
			t.Errorf("ResultError(%q) = %v, want %v", result, err, want)
		}
	}
}
