package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// maxLineBytes bounds a log line; Read fails at a longer one.
	maxLineBytes = 1 << 20
	// stateWindow is how long before a request a change of its VM's state may have affected it; a lost server is detected and
	// its layers are loaded elsewhere within a few seconds.
	stateWindow = 5 * time.Second
)

type (
	// Line is one log line.
	Line struct {
		Time  time.Time
		Event string
		VM    teaselstream.VMID
		// Request is empty on lines about servers, the store and the process.
		Request teaselstream.AttemptID
		Fields  map[string]any
	}

	// Log holds the lines of several VMs; its zero value is empty.
	Log struct {
		lines []Line
		// unreadable counts lines that are not log lines.
		unreadable int
	}

	// Explanation says what happened to one request and why it ended.
	Explanation struct {
		Request teaselstream.AttemptID
		VM      teaselstream.VMID
		// Lines are the log lines about the request. Beliefs are its VM's state changes shortly before and during the request:
		// those of the servers that it used, the store, the configuration and the VM.
		Lines   []Line
		Beliefs []Line
		// Cause is one sentence on why the request ended as it did.
		Cause string
		// Unreadable counts lines of the input that could not be read.
		Unreadable int
	}
)

// stateEvents are the log events at which a VM's view of a server, the store, the configuration or itself changes.
var stateEvents = map[string]bool{
	"ServerDown": true, "ServerLeaving": true, "ServerLeft": true, "ServerLapsed": true, "ServerRestarted": true, "ServerAnswers": true,
	"LinkCut": true, "StoreLost": true, "StoreRegained": true, "StoreHistoryLost": true, "RoutingAdopted": true, "Stopping": true, "Started": true,
}

// Read adds the lines of one input. It skips the text before the first brace of a line, such as a log collector's prefix.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if err := l.add(s.Bytes()); err != nil {
			l.unreadable++
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (l *Log) add(text []byte) error {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return fmt.Errorf("line is not a log line: %w", teaselstream.ErrNotFound)
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	if err != nil {
		return fmt.Errorf("decode time: %w", err)
	}
	x := Line{
		Time: at, Event: textOf(fields["msg"]), VM: teaselstream.VMID(textOf(fields["vm"])),
		Request: teaselstream.AttemptID(textOf(fields["request"])), Fields: fields,
	}
	for _, name := range []string{"time", "msg", "vm", "request", "level"} {
		delete(fields, name)
	}
	l.lines = append(l.lines, x)
	return nil
}

// FailedRequests returns the ids of the requests that did not complete, in the order in which the log shows their ends. A
// server's own answer that was passed on counts as complete, whatever its status.
func (l *Log) FailedRequests() []teaselstream.AttemptID {
	var ids []teaselstream.AttemptID
	for _, x := range l.lines {
		failed := x.Event == "RequestRefused" || x.Event == "RequestEnded" && x.text("code") != "" && x.text("code") != "PassedOn"
		if failed && x.Request != "" && !slices.Contains(ids, x.Request) {
			ids = append(ids, x.Request)
		}
	}
	return ids
}

// Explanation explains a request from its log lines; ok is false if there are none.
func (l *Log) Explanation(id teaselstream.AttemptID) (explanation Explanation, ok bool) {
	explanation = Explanation{Request: id, Unreadable: l.unreadable}
	for _, x := range l.lines {
		if x.Request == id {
			explanation.Lines = append(explanation.Lines, x)
		}
	}
	if len(explanation.Lines) == 0 {
		return explanation, false
	}
	sortLines(explanation.Lines)
	first, last := explanation.Lines[0], explanation.Lines[len(explanation.Lines)-1]
	explanation.VM = last.VM
	began := first.Time.Add(-time.Duration(first.number("ms")) * time.Millisecond)
	servers := serversOf(explanation.Lines)
	for _, x := range l.lines {
		if x.VM != explanation.VM || !stateEvents[x.Event] || x.Time.Before(began.Add(-stateWindow)) || x.Time.After(last.Time) {
			continue
		}
		if server := x.text("server"); server == "" || servers[server] {
			explanation.Beliefs = append(explanation.Beliefs, x)
		}
	}
	sortLines(explanation.Beliefs)
	explanation.Cause = causeOf(explanation.Lines)
	return explanation, true
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// serversOf returns the servers that the lines name.
func serversOf(lines []Line) map[string]bool {
	out := make(map[string]bool)
	for _, x := range lines {
		if s := x.text("server"); s != "" {
			out[s] = true
		}
		path, _ := x.Fields["path"].([]any)
		for _, s := range path {
			out[textOf(s)] = true
		}
	}
	return out
}

func textOf(v any) string {
	s, _ := v.(string)
	return s
}

func (x *Line) text(name string) string { return textOf(x.Fields[name]) }

func (x *Line) number(name string) float64 {
	n, _ := x.Fields[name].(float64)
	return n
}
