package detour

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// lastRand always chooses the last of several.
type lastRand struct{}

func (lastRand) Float64() float64 { return 0 }
func (lastRand) IntN(n int) int   { return n - 1 }

// Guards against exchanges that go to a VM that has just refused one, to a VM without a listener, to this VM itself, or to another
// failure domain while one of this domain takes exchanges; against VMs through which nothing is answered and that are asked on (RECOVER),
// or that are put aside for good, or for one server that has ended; and against a fleet in which none is asked, or all are for each exchange.
func TestChooserScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := script{}
			s.chooser = Chooser{
				Self: "me", Isolated: func() bool { return true }, Peers: func() []fleet.Peer { return s.peers }, Rand: lastRand{},
				OnPutAside: func(x PutAside) {
					s.out = append(s.out, fmt.Sprintf("%d aside %s for %s, %d failures", s.ms, x.VM, x.For, x.Failures))
				},
			}
			for line := range strings.SplitSeq(d.Input, "\n") {
				s.line(t, strings.Fields(line))
			}
			return strings.Join(s.out, "\n")
		})
	})
}

type script struct {
	chooser Chooser
	peers   []fleet.Peer
	search  *Search
	ms      int
	out     []string
}

// line applies "peers NAME/DOMAIN[/norelay]...", "MS search" for a new exchange, "MS next" for the next VM of that exchange,
// "MS refused VM...", "MS failed VM/SERVER..." or "MS answered VM...".
func (s *script) line(t *testing.T, w []string) {
	t.Helper()
	if w[0] == "peers" {
		for _, x := range w[1:] {
			f := strings.Split(x, "/")
			p := fleet.Peer{Name: teaselstream.VMID(f[0]), Domain: teaselstream.DomainID(f[1])}
			if len(f) == 2 {
				p.Relay = "relay of " + f[0]
			}
			s.peers = append(s.peers, p)
		}
		return
	}
	if _, err := fmt.Sscan(w[0], &s.ms); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0).Add(time.Duration(s.ms) * time.Millisecond)
	if w[1] == "search" {
		s.search = s.chooser.Search()
	}
	if w[1] == "search" || w[1] == "next" {
		p, ok := s.search.Next(now)
		if !ok {
			p.Name = "none"
		}
		s.out = append(s.out, fmt.Sprintf("%d chosen %s", s.ms, p.Name))
		return
	}
	for _, x := range w[2:] {
		name, server, _ := strings.Cut(x, "/")
		vm := teaselstream.VMID(name)
		switch w[1] {
		case "refused":
			s.chooser.RecordRefusal(now, vm)
		case "failed":
			s.chooser.RecordFailure(now, vm, server)
		case "answered":
			s.chooser.RecordAnswer(vm)
		default:
			t.Fatalf("unknown line %q", w)
		}
	}
}

// Guards against exchanges that go through others while this VM reaches servers, or that go directly while it does not and others carry.
func TestActive(t *testing.T) {
	peers := []fleet.Peer{{Name: "me", Domain: "a", Relay: "me:1"}, {Name: "old", Domain: "a"}, {Name: "near-1", Domain: "a", Relay: "n:1"}}
	isolated := true
	c := &Chooser{Self: "me", Isolated: func() bool { return isolated }, Peers: func() []fleet.Peer { return peers }, Rand: lastRand{}}
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

// Guards against records of VMs that are gone being kept.
func TestRecordsAreBounded(t *testing.T) {
	var c Chooser
	now := time.Unix(1000, 0)
	const vms = 1000
	for i := range vms {
		c.RecordFailure(now.Add(time.Duration(i)*time.Second), teaselstream.VMID(fmt.Sprint("vm-", i)), "s")
	}
	if n := len(c.records); n > int(recordTime/time.Second) {
		t.Errorf("%d records are kept of %d VMs that failed once a second", n, vms)
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
