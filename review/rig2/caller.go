//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

// answer is what a caller got.
type answer struct {
	// line is the first line as it arrived.
	line   string
	status int
	body   string
	err    error
}

// text returns a request of the first tenant as it goes over the wire. Lines holds further header lines.
func text(method, path, attempt string, wait time.Duration, body string, lines ...string) string {
	return textOf(key, method, path, attempt, wait, body, lines...)
}

// textOf is text for the tenant with a key.
func textOf(key, method, path, attempt string, wait time.Duration, body string, lines ...string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, path, host, attempt,
		wait.Milliseconds(), key)
	for _, l := range lines {
		s.WriteString(l + "\r\n")
	}
	s.WriteString("\r\n" + body)
	return s.String()
}

// length is the header line for a body.
func length(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }

// call sends a request on a new connection and reads the answer.
func call(address, request string, wait time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer sock.Discard(c)
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c, request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), request)
}

// readAnswer reads one answer. The first line is kept as it arrived.
func readAnswer(r *bufio.Reader, request string) answer {
	method, _, _ := strings.Cut(request, " ")
	line, err := r.ReadString('\n')
	a := answer{line: strings.TrimRight(line, "\r\n")}
	if err != nil {
		a.err = err
		return a
	}
	p, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(line), r)), &http.Request{Method: method})
	if err != nil {
		a.err = fmt.Errorf("no answer in the protocol: %w", err)
		return a
	}
	defer sock.Discard(p.Body)
	b, err := io.ReadAll(p.Body)
	a.status, a.body = p.StatusCode, string(b)
	if err != nil {
		a.err = errors.Join(errors.New("answer is cut"), err)
	}
	return a
}
