package moves

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// Guards against streams that move at once although others would come late by it, that wait although nothing calls for it or beyond the
// patience of their callers, that leave servers that are hardly slow, and that move back and forth.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &Scheduler{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "scheduler" {
				s = &Scheduler{}
				return "ok"
			}
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				fmt.Fprintln(&out, line)
				f := strings.Fields(line)
				now := loadStart.Add(durationOf(t, f[0]))
				for _, c := range s.Update(now, messageOf(t, f[1], f[2], f[3:])) {
					fmt.Fprintf(&out, "  %s\n", describe(c))
				}
			}
			return out.String()
		})
	})
}

// messageOf parses a message of the form "NAME ID key=value...".
func messageOf(t *testing.T, name, id string, args []string) teaselstream.Msg {
	m := fields{t, map[string]string{}}
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		m.values[k] = v
	}
	request, server := teaselstream.AttemptID(id), teaselstream.ServerID(id)
	layers := teaselstream.LayerRange{From: teaselstream.Layer(m.number("from")), To: teaselstream.Layer(m.number("to"))}
	from := teaselstream.ServerID("a")
	if m.values["on"] != "" {
		from = teaselstream.ServerID(m.values["on"])
	}
	switch name {
	case "lost":
		return Lost{server, m.byRank("ahead"), m.byRank("streams"), int(m.number("vms")), m.number("rate"), 0, layers}
	case "slowed":
		return Slowed{server, m.number("factor"), m.byRank("ahead"), m.byRank("streams"), int(m.number("vms")), m.number("rate"), 0, layers}
	case "ask":
		return Ask{request, from, int(m.number("rank")), int(m.number("tokens")), int(m.number("left")), m.time("silent"), m.time("gap"), m.time("patience")}
	case "askslow":
		return AskSlow{
			request, from, int(m.number("rank")), int(m.number("tokens")), int(m.number("left")), m.time("gap"), m.time("pause"),
			m.time("pace"), m.time("normal"), m.time("read"),
		}
	case "ended":
		return Ended{request}
	}
	t.Fatalf("unknown message %s", name)
	return nil
}

type fields struct {
	t      *testing.T
	values map[string]string
}

func (m fields) number(key string) float64 {
	if m.values[key] == "" {
		return 0
	}
	x, err := strconv.ParseFloat(m.values[key], 64)
	if err != nil {
		m.t.Fatal(err)
	}
	return x
}

func (m fields) time(key string) time.Duration {
	if m.values[key] == "" {
		return 0
	}
	return durationOf(m.t, m.values[key])
}

// byRank parses "10,20" as 10 for rank 0 and 20 for rank 1.
func (m fields) byRank(key string) map[int]int64 {
	if m.values[key] == "" {
		return nil
	}
	out := map[int]int64{}
	for rank, text := range strings.Split(m.values[key], ",") {
		out[rank] = int64(fields{m.t, map[string]string{"n": text}}.number("n"))
	}
	return out
}

func durationOf(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func describe(c teaselstream.Cmd) string {
	switch c := c.(type) {
	case Move:
		return strings.TrimSpace(fmt.Sprintf("move %s at %s: %s %v", c.Request, c.At.Sub(loadStart).Round(time.Millisecond), c.Reason, c.Avoid))
	case Stay:
		return fmt.Sprintf("stay %s until %s", c.Request, c.Until.Sub(loadStart).Round(time.Millisecond))
	case LogDecision:
		return fmt.Sprintf("log %s waits %s: %s", c.Request, c.Waits.Round(time.Millisecond), c.Reason)
	}
	return fmt.Sprintf("%T", c)
}
