package health

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/teaselstream/teaselstream"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid so that runs are reproducible; the command-line flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// script runs the lines of a test script on a monitor and collects its commands.
type script struct {
	m     *Monitor
	start time.Time
	now   time.Time
	out   []string
}

// TestMonitorScripts guards against slow, wrong or dead servers that keep their traffic, healthy servers that lose it,
// and states that never end or oscillate.
func TestMonitorScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := &script{m: &Monitor{}, start: time.Unix(0, 0), now: time.Unix(0, 0)}
			for _, line := range strings.Split(d.Input, "\n") {
				if err := s.line(strings.Fields(line)); err != nil {
					t.Fatalf("%s: %v", line, err)
				}
			}
			return strings.Join(s.out, "\n")
		})
	})
}

func (s *script) send(m teaselstream.Msg) {
	for _, c := range s.m.Update(s.now, m) {
		at := s.now.Sub(s.start)
		switch c := c.(type) {
		case SetState:
			s.out = append(s.out, fmt.Sprintf("%s %s %s weight %.2f slowdown %.1f %s", at, c.Server, c.State, c.Weight, c.Slowdown, c.Cause))
		case Probe:
			s.out = append(s.out, fmt.Sprintf("%s probe %s", at, c.Server))
		case Canary:
			s.out = append(s.out, fmt.Sprintf("%s canary %s avoid %s", at, c.Server, c.Avoid))
		}
	}
}

// line applies "servers NAME/FROM-TO/INCARNATION...", "used NAME ok|failed|refused", "probed NAME BOOL", "left NAME",
// "latency CHAIN MS COUNT", "answer CHAIN TEXT", "report VM NAME CAUSE" or "tick SECONDS"; a chain is NAME,NAME.
func (s *script) line(w []string) error {
	id := teaselstream.ServerID(w[1])
	switch w[0] {
	case "servers":
		var list Servers
		for _, x := range w[1:] {
			k := Known{Server: teaselstream.Server{Model: "m", Kind: teaselstream.KindModel, TimePerLayer: time.Millisecond}, SendCanaries: true}
			if _, err := fmt.Sscanf(strings.ReplaceAll(x, "/", " "), "%s %d-%d %d", &k.Name, &k.Layers.From, &k.Layers.To, &k.Incarnation); err != nil {
				return fmt.Errorf("parse server: %w", err)
			}
			list.List = append(list.List, k)
		}
		s.send(list)
	case "used":
		s.send(CallResult{Server: id, Result: map[string]CallStatus{"ok": CallOK, "failed": CallFailed, "refused": CallRefused}[w[2]]})
	case "probed":
		s.send(ProbeResult{Server: id, OK: w[2] == "true"})
	case "left":
		s.send(ServerLeaving{Server: id})
	case "latency":
		x, err := strconv.ParseFloat(w[2], 64)
		n, err2 := strconv.Atoi(w[3])
		for range n {
			s.send(Latency{Chain: s.chain(w[1]), PerToken: time.Duration(x * float64(time.Millisecond))})
		}
		if err != nil || err2 != nil {
			return fmt.Errorf("parse numbers: %w", err)
		}
	case "answer":
		var chain []teaselstream.ServerID
		for _, h := range s.chain(w[1]) {
			chain = append(chain, h.Server)
		}
		s.send(CanaryAnswer{Model: "m", Chain: chain, Answer: teaselstream.Digest(w[2])})
	case "report":
		s.send(PeerReport{VM: teaselstream.VMID(w[1]), Server: teaselstream.ServerID(w[2]), Cause: Cause(w[3])})
	case "tick":
		n, err := strconv.Atoi(w[1])
		if err != nil {
			return fmt.Errorf("parse seconds: %w", err)
		}
		for range n {
			s.now = s.now.Add(time.Second)
			s.send(Tick{})
		}
	}
	return nil
}

func (s *script) chain(names string) []teaselstream.Hop {
	var chain []teaselstream.Hop
	for _, n := range strings.Split(names, ",") {
		l := s.m.servers[teaselstream.ServerID(n)].Layers
		chain = append(chain, teaselstream.Hop{Server: teaselstream.ServerID(n), From: l.From, To: l.To})
	}
	return chain
}

// TestEjectionIsBounded guards, for random samples, answers and reports, against probation of more than a third of a
// model's servers and against a leaving server that changes state.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &script{m: &Monitor{}, start: time.Unix(0, 0), now: time.Unix(0, 0)}
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		list := "servers"
		for i := range n {
			list += fmt.Sprintf(" s%d/0-10/0", i)
		}
		must := func(line string) {
			if err := s.line(strings.Fields(line)); err != nil {
				t.Fatal(err)
			}
		}
		must(list)
		must("left s0")
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			must(rapid.SampledFrom([]string{
				fmt.Sprintf("latency s%d 10 12", i), fmt.Sprintf("latency s%d 60 12", i), fmt.Sprintf("answer s%d right", i),
				fmt.Sprintf("answer s%d wrong", i), fmt.Sprintf("report v1 s%d Wrong", i), fmt.Sprintf("report v2 s%d Wrong", i),
				"tick 1", "tick 12",
			}).Draw(t, "line"))
			ejected := 0
			for _, x := range s.m.servers {
				if x.state == teaselstream.Probation {
					ejected++
				}
			}
			if ejected*3 > n {
				t.Fatalf("%d of %d servers on probation", ejected, n)
			}
			if x := s.m.servers["s0"]; x.state != teaselstream.Leaving {
				t.Fatalf("leaving server went to state %s", x.state)
			}
		}
	})
}
