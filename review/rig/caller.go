//go:build review

package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Caller sends requests to gates.
	Caller struct {
		Record *Record
		// Prefix begins all attempt ids.
		Prefix string

		sent   atomic.Int64
		active sync.WaitGroup
	}

	// StreamRequest is a request for a stream.
	StreamRequest struct {
		// Parts are the parts of the prompt, each ID:TOKENS; the last one is the request's own and is added.
		Parts []string
		// Tokens is the number of output tokens.
		Tokens int
	}

	// Answer is what a caller got for one request.
	Answer struct {
		Attempt string
		Gate    *Gate
		SentAt  time.Time
		Status  int
		Header  http.Header
		// Complete means that the answer ended as its framing announced.
		Complete bool
		// Events is the number of events of a stream, and Last the id of the last one.
		Events int
		Last   int
		// Wrong says that the ids of events do not follow each other.
		Wrong string
		Err   error
	}
)

// maxGap is the gap after which a caller abandons a stream, also before its first event: two seconds, which is four times the objective.
const maxGap = 2 * time.Second

var transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}

// Stream sends a request for a stream and reads the answer.
func (c *Caller) Stream(g *Gate, s StreamRequest) Answer {
	a := Answer{Attempt: fmt.Sprintf("%s%04d", c.Prefix, c.sent.Add(1)), Gate: g, SentAt: time.Now()}
	q, err := http.NewRequest(http.MethodPost, "http://"+g.Frontend()+"/draft/"+a.Attempt, strings.NewReader("a prompt"))
	if err != nil {
		a.Err = err
		return a
	}
	q.Host = Host
	counts := fmt.Sprintf("%d,%d", 40*(1+len(s.Parts)), s.Tokens)
	q.Header.Set("X-Attempt-Id", a.Attempt)
	q.Header.Set("X-Api-Key", Key)
	q.Header.Set("X-Deadline-Ms", "20000")
	q.Header.Set("X-Model-Name", "draft-70b")
	q.Header.Set("X-Token-Counts", counts)
	q.Header.Set("X-Prefix-Hash", strings.Join(append(append([]string(nil), s.Parts...), fmt.Sprintf("%x:40", 0xe0000000+c.sent.Load())), ","))
	c.Record.Add("caller sends %s to %s: %d parts, %d events expected", a.Attempt, g.Name, 1+len(s.Parts), Events(counts))
	defer func() {
		c.Record.Add("caller got for %s from %s: status %d, %d events, last %d of %d, complete %t, error %v %s", a.Attempt, g.Name, a.Status, a.Events, a.Last,
			Events(counts), a.Complete, a.Err, a.Wrong)
	}()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	gap := time.AfterFunc(maxGap, leave)
	defer gap.Stop()
	p, err := transport.RoundTrip(q.WithContext(ctx))
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = p.Body.Close() }()
	a.Status, a.Header = p.StatusCode, p.Header
	lines := bufio.NewReader(p.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, convErr := strconv.Atoi(text)
			if convErr != nil || n != a.Last+1 {
				a.Wrong = fmt.Sprintf("event %q follows event %d", text, a.Last)
			}
			a.Last = n
			a.Events++
			gap.Reset(maxGap)
		}
		if err != nil {
			a.Complete = err == io.EOF
			if !a.Complete {
				a.Err = err
			}
			return a
		}
	}
}

// Every calls f in a goroutine of its own once a period until stop is closed.
func (c *Caller) Every(period time.Duration, stop <-chan struct{}, f func(n int)) {
	c.active.Add(1)
	go func() {
		defer c.active.Done()
		t := time.NewTicker(period)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			c.active.Add(1)
			go func() {
				defer c.active.Done()
				f(n)
			}()
		}
	}()
}

// Wait waits for all requests of Every.
func (c *Caller) Wait() { c.active.Wait() }

// Lookup sends an idempotent call and reads the answer.
func (c *Caller) Lookup(g *Gate) Answer {
	a := Answer{Attempt: fmt.Sprintf("%s%04d", c.Prefix, c.sent.Add(1)), Gate: g, SentAt: time.Now()}
	q, err := http.NewRequest(http.MethodGet, "http://"+g.Frontend()+"/lookup/"+a.Attempt, nil)
	if err != nil {
		a.Err = err
		return a
	}
	q.Host = Host
	q.Header.Set("X-Attempt-Id", a.Attempt)
	q.Header.Set("X-Api-Key", Key)
	q.Header.Set("X-Deadline-Ms", "1000")
	c.Record.Add("caller sends %s to %s", a.Attempt, g.Name)
	p, err := transport.RoundTrip(q)
	if err != nil {
		a.Err = err
	} else {
		a.Status, a.Header = p.StatusCode, p.Header
		_, a.Err = io.Copy(io.Discard, p.Body)
		a.Complete = a.Err == nil
		_ = p.Body.Close()
	}
	c.Record.Add("caller got for %s from %s: status %d, complete %t, error %v", a.Attempt, g.Name, a.Status, a.Complete, a.Err)
	return a
}
