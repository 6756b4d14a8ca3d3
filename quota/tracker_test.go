package quota

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

type trackerScript struct {
	tracker Tracker
	start   time.Time
}

// Guards against a limit that an older answer ends, that is kept after the server has ceased to name it, or that only the VMs
// know to which the server has named it; and against parts of a VM that is not registered.
func TestTrackerScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &trackerScript{start: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *trackerScript) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "new" {
		s.tracker = Tracker{VM: "vm1"}
	}
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		f := strings.Fields(line)
		at, err := time.ParseDuration(f[0])
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range s.tracker.Update(s.start.Add(at), s.message(t, f[1:])) {
			switch c := c.(type) {
			case SetParts:
				for _, id := range slices.Sorted(maps.Keys(c.Parts)) {
					fmt.Fprintf(&out, "%s: %s limit %.1f part %.2f\n", f[0], id, c.Parts[id].Limit, c.Parts[id].Rate)
				}
				if len(c.Parts) == 0 {
					fmt.Fprintf(&out, "%s: no limits\n", f[0])
				}
			case PublishReport:
				fmt.Fprintf(&out, "%s: report %v\n", f[0], c.Report.Limits)
			}
		}
	}
	return out.String()
}

// message parses "vms NAME=DOMAIN...", which also sets server a of domain x, "named SERVER LIMIT|none [SENT]", "heard SERVER
// LIMIT|none AGE" and "tick".
func (s *trackerScript) message(t *testing.T, f []string) teaselstream.Msg {
	switch f[0] {
	case "vms":
		v := &fleet.View{Members: map[teaselstream.ServerID]*fleet.Member{}}
		m := &fleet.Member{}
		m.ID, m.Domain = "a", "x"
		v.Members["a"] = m
		for _, x := range f[1:] {
			name, domain, _ := strings.Cut(x, "=")
			v.Peers = append(v.Peers, fleet.Peer{Name: teaselstream.VMID(name), Domain: teaselstream.DomainID(domain)})
		}
		return ViewChanged{v}
	case "named":
		m := Named{Server: teaselstream.ServerID(f[1]), SentAt: s.start.Add(time.Hour)}
		m.Limit, m.HasLimit = limitOf(f[2])
		if len(f) > 3 {
			sent, err := time.ParseDuration(f[3])
			if err != nil {
				t.Fatal(err)
			}
			m.SentAt = s.start.Add(sent)
		}
		return m
	case "heard":
		x := ReportedLimit{Server: teaselstream.ServerID(f[1])}
		x.Limit, x.HasLimit = limitOf(f[2])
		age, err := time.ParseDuration(f[3])
		if err != nil {
			t.Fatal(err)
		}
		x.Age = age
		return ReportRead{Report{Limits: []ReportedLimit{x}, WrittenAt: s.start.Unix()}}
	case "tick":
		return teaselstream.Tick{}
	}
	t.Fatalf("unknown message %s", f[0])
	return nil
}

func limitOf(text string) (teaselstream.RequestsPerSecond, bool) {
	n, err := strconv.ParseFloat(text, 64)
	return teaselstream.RequestsPerSecond(n), err == nil
}
