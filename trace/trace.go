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
	// maxLine bounds a log line; longer ones are counted as unreadable.
	maxLine = 1 << 20
	// beliefTime is how long before a request a change of what its VM believes may have decided it; a lost server is found
	// and its layers are held again within some seconds.
	beliefTime = 5 * time.Second
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

	// Log holds lines of several VMs; its zero value is empty.
	Log struct {
		lines []Line
		// unreadable counts lines that are not log lines.
		unreadable int
	}

	// Explanation is what is known of one request.
	Explanation struct {
		Request teaselstream.AttemptID
		VM      teaselstream.VMID
		// Lines are those about the request, and Beliefs those about the servers it used, the store and the configuration.
		Lines   []Line
		Beliefs []Line
		// Cause says in one sentence why the request ended as it did.
		Cause string
		// Unreadable counts lines of the input that could not be read.
		Unreadable int
	}
)

// beliefs are the events that change what a VM believes of a server or of everything.
var beliefs = map[string]bool{
	"ServerDown": true, "ServerLeaving": true, "ServerLeft": true, "ServerLapsed": true, "ServerRestarted": true, "ServerAnswers": true,
	"LinkCut": true, "StoreLost": true, "StoreRegained": true, "StoreHistoryLost": true, "RoutingAdopted": true, "Stopping": true, "Started": true,
}

// Read adds the lines of one input. Text before the first brace of a line, such as a collector's prefix, is passed over.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// FailedRequests returns the ids of requests that ended otherwise than complete, in the order of their last lines.
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

// Explanation returns what the log says of a request; ok is false if it says nothing.
func (l *Log) Explanation(id teaselstream.AttemptID) (story Explanation, ok bool) {
	story = Explanation{Request: id, Unreadable: l.unreadable}
	for _, x := range l.lines {
		if x.Request == id {
			story.Lines = append(story.Lines, x)
		}
	}
	if len(story.Lines) == 0 {
		return story, false
	}
	sortLines(story.Lines)
	first, last := story.Lines[0], story.Lines[len(story.Lines)-1]
	story.VM = last.VM
	began := first.Time.Add(-time.Duration(first.number("ms")) * time.Millisecond)
	servers := serversOf(story.Lines)
	for _, x := range l.lines {
		if x.VM != story.VM || !beliefs[x.Event] || x.Time.Before(began.Add(-beliefTime)) || x.Time.After(last.Time) {
			continue
		}
		if server := x.text("server"); server == "" || servers[server] {
			story.Beliefs = append(story.Beliefs, x)
		}
	}
	sortLines(story.Beliefs)
	story.Cause = cause(story.Lines)
	return story, true
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// serversOf returns the servers that lines name.
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
