//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

func init() { cases["smuggle"] = smuggle }

const smuggleRounds = 10

// smuggle sends orders whose body holds the text of another request. With the disruption, a space follows the name of the header line
// with the body's length, which receivers have to reject (RFC 9112, section 5.1).
func smuggle(b *bench) (bool, error) {
	b.configure([]map[string]any{orderRoute(deskService)}, []map[string]any{{"Name": deskService, "HealthPath": "/healthz", "MaxConns": 100}})
	d, err := b.startDesk(deskReplicas)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := b.startGates(2); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	smuggled, sound := 0, 0
	for i := range smuggleRounds {
		attempt, inner := fmt.Sprintf("order-%d", i), fmt.Sprintf("inside-%d", i)
		body := text(http.MethodPost, fmt.Sprintf("/order/inside/%d", i), inner, orderWait, "", "Content-Length: 0")
		line := length(body)
		if b.trouble {
			line = fmt.Sprintf("Content-Length : %d", len(body))
		}
		address := b.gates[i%len(b.gates)].callers
		b.record("caller sends attempt %s to gate %d, with %q and a body that holds the text of a request with attempt %s", attempt, i%len(b.gates), line, inner)
		if err := b.sendWithin(address, text(http.MethodPost, fmt.Sprintf("/order/%d", i), attempt, orderWait, body, line)); err != nil {
			return false, err
		}
		ran, _ := d.runs(attempt, "")
		ranInside, _ := d.runs(inner, "")
		b.record("attempt %s ran %d times, attempt %s %d times", attempt, ran, inner, ranInside)
		if ranInside > 0 {
			smuggled++
		}
		if ran > 0 {
			sound++
		}
	}
	b.record("%d requests; %d that were inside the body of another one ran", smuggleRounds, smuggled)
	if !b.trouble && sound < smuggleRounds {
		return false, fmt.Errorf("only %d of %d orders ran", sound, smuggleRounds)
	}
	return smuggled > 0, nil
}

// sendWithin sends bytes on one connection and records all answers that come back within a second.
func (b *bench) sendWithin(address, request string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fmt.Errorf("connect to gate: %w", err)
	}
	defer sock.Discard(c)
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(c, request); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	r := bufio.NewReader(c)
	for {
		a := readAnswer(r, request)
		if a.line == "" {
			return nil
		}
		b.record("caller got %q, body %q, error %v", a.line, a.body, a.err)
		if a.err != nil {
			return nil
		}
	}
}
