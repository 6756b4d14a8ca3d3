package crash

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

type trackerScript struct {
	tracker    Tracker
	quarantine *Quarantine
	start      time.Time
	requests   int
}

// Guards against traits that are refused although a server has answered them, or although another trait explains the losses;
// against signatures that are lost with the VMs or kept after a server has answered such a request; and against request contents
// of different teams that are taken for the same.
func TestTrackerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &trackerScript{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
	if ContentTrait("a", "GET", "/x", nil) == ContentTrait("b", "GET", "/x", nil) || ContentTrait("a", "GET", "/x", []byte("y")) == ContentTrait("a", "GET", "/xy", nil) {
		t.Error("different requests have the same content trait")
	}
}

func (s *trackerScript) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "new" {
		s.tracker, s.quarantine = Tracker{}, nil
		vms := []teaselstream.VMID{"vm1"}
		if d.HasArg("second") {
			// vm2 is the first in rank for the trait.
			vms = teaselstream.RendezvousOrder("bad", []teaselstream.VMID{"vm1", "vm2", "vm3"})
			vms = []teaselstream.VMID{vms[1], vms[0]}
		}
		s.tracker.Update(s.start, Peers{Self: vms[0], VMs: vms})
		return "ok"
	}
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		at, err := time.ParseDuration(f[0])
		if err != nil {
			t.Fatal(err)
		}
		if f[1] == "refuses" {
			fmt.Fprintf(&out, "%s: refuses %v: %t\n", f[0], f[2:], s.quarantine.Refuses(traitsOf(f[2:])))
			continue
		}
		if f[1] == "try" {
			fmt.Fprintf(&out, "%s: try %v: %t\n", f[0], f[2:], s.quarantine.TakeTrial(traitsOf(f[2:])))
			continue
		}
		for _, c := range s.tracker.Update(s.start.Add(at), s.message(t, f[1:])) {
			switch c := c.(type) {
			case PublishQuarantine:
				s.quarantine = c.Quarantine
			case LogSignature:
				fmt.Fprintf(&out, "%s: signature %v found %t, servers %v\n", f[0], c.Signature.Traits, c.Found, c.Servers)
			case PublishReport:
				fmt.Fprintf(&out, "%s: report of %d suspicions, cleared %v\n", f[0], len(c.Report.Suspicions), c.Report.Cleared)
			case WriteRecord:
				fmt.Fprintf(&out, "%s: write record %v at revision %d\n", f[0], c.Record.Signatures, c.Revision)
			}
		}
	}
	return out.String()
}

func traitsOf(names []string) []Trait {
	traits := make([]Trait, len(names))
	for i, x := range names {
		traits[i] = Trait(x)
	}
	return traits
}

// message parses "lost SERVER TRAIT...", "begun SERVER TRAIT...", which is the same with an answer that had begun, "heard SERVER TRAIT..." and
// "heard-begun SERVER TRAIT...", which are the same from another VM, "answered TRAIT...", "cleared TRAIT [AGE]" by another VM,
// "record ERA:REVISION [TRAIT...]" with one signature and "tick".
func (s *trackerScript) message(t *testing.T, f []string) teaselstream.Msg {
	s.requests++
	request := teaselstream.AttemptID(strconv.Itoa(s.requests))
	switch f[0] {
	case "lost", "begun":
		return Lost{Request: request, Server: teaselstream.ServerID(f[1]), Traits: traitsOf(f[2:]), Begun: f[0] == "begun"}
	case "heard", "heard-begun":
		return ReportRead{Report{WrittenAt: s.start.Unix(), Suspicions: []Suspicion{{
			Request: request, Server: teaselstream.ServerID(f[1]), Traits: traitsOf(f[2:]), Begun: f[0] == "heard-begun",
		}}}}
	case "answered":
		return Answered{traitsOf(f[1:])}
	case "cleared":
		c := Clearance{Trait: Trait(f[1])}
		if len(f) > 2 {
			var err error
			if c.Age, err = time.ParseDuration(f[2]); err != nil {
				t.Fatal(err)
			}
		}
		return ReportRead{Report{WrittenAt: s.start.Unix(), Cleared: []Clearance{c}}}
	case "record":
		var r RecordRead
		if n, err := fmt.Sscanf(f[1], "%d:%d", &r.At.Era, &r.At.Revision); n != 2 {
			t.Fatal(err)
		}
		if len(f) > 2 {
			r.Record.Signatures = []RecordedSignature{{Signature{traitsOf(f[2:])}, s.start.Unix()}}
		}
		return r
	case "tick":
		return teaselstream.Tick{}
	}
	t.Fatalf("unknown message %s", f[0])
	return nil
}
