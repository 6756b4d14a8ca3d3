package status

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const testService = teaselstream.ServiceID("model")

var testStart = time.Unix(1000, 0)

// observerScript runs an Observer of domain "near" for servers that are listed as "near" or "far".
type observerScript struct {
	observer Observer
	view     *fleet.View
}

// Guards against looks at servers of other domains or by a VM that does not observe, against a server that is looked at too often because
// many streams stand still, and against news that is published late or not at all.
func TestObserverScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/observer", func(t *testing.T, path string) {
		var s observerScript
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				s = observerScript{observer: Observer{Domain: "near", Loads: d.HasArg("loads")}, view: &fleet.View{Routing: &teaselstream.Routing{
					Pools: map[teaselstream.ServiceID]*teaselstream.Pool{testService: {Engine: &teaselstream.EngineSpec{}}, "plain": {}},
				}}}
				return "ok"
			}
			return s.steps(t, d.Input)
		})
	})
}

func (s *observerScript) steps(t *testing.T, input string) string {
	var out strings.Builder
	for _, line := range strings.Split(input, "\n") {
		f := strings.Fields(line)
		first, last, isRange := strings.Cut(f[0], "-")
		at := duration(t, first)
		end := at
		if isRange {
			end = duration(t, last)
		}
		for ; at <= end; at += 100 * time.Millisecond {
			for _, c := range s.observer.Update(testStart.Add(at), s.message(f[1:])) {
				switch c := c.(type) {
				case Look:
					fmt.Fprintf(&out, "%s: look at %s %s\n", at, c.Server, strings.TrimSpace(fmt.Sprintf("%s %s", c.Reason, limitOf(c))))
				case Publish:
					fmt.Fprintf(&out, "%s: publish %s %s holds %s running %d news %t\n", at, c.Record.Server, c.Record.State, c.Record.Holds, c.Record.Running, c.News)
				}
			}
		}
	}
	return out.String()
}

func limitOf(c Look) string {
	if c.Timeout == 0 {
		return ""
	}
	return "within " + c.Timeout.String()
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// message parses "observe", "stop", "server NAME SERVICE DOMAIN [down|ended]...", "answered NAME RUNNING", "closed NAME", "stalled NAME..." or
// "tick".
func (s *observerScript) message(f []string) teaselstream.Msg {
	switch f[0] {
	case "observe", "stop":
		return Activated{Active: f[0] == "observe"}
	case "server":
		return s.change(f)
	case "answered":
		var n int
		if _, err := fmt.Sscan(f[2], &n); err != nil {
			return nil
		}
		return Looked{Server: teaselstream.ServerID(f[1]), Report: teaselstream.ReplicaReport{Running: n, CacheTotal: 1}}
	case "closed":
		return ConnectionEnded{Address: f[1]}
	case "stalled":
		var m StreamStalled
		for _, id := range f[1:] {
			m.Servers = append(m.Servers, teaselstream.ServerID(id))
		}
		return m
	}
	return teaselstream.Tick{}
}

func (s *observerScript) change(f []string) teaselstream.Msg {
	m := &fleet.Member{DownSince: testStart, Ended: slices.Contains(f, "ended")}
	if m.Ended || slices.Contains(f, "down") {
		m.State = fleet.Down
	}
	m.ID, m.Address, m.Service, m.Domain = teaselstream.ServerID(f[1]), f[1], teaselstream.ServiceID(f[2]), teaselstream.DomainID(f[3])
	v := *s.view
	v.Members = map[teaselstream.ServerID]*fleet.Member{m.ID: m}
	for id, x := range s.view.Members {
		if id != m.ID {
			v.Members[id] = x
		}
	}
	s.view = &v
	return ViewChanged{View: s.view}
}
