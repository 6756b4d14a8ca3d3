package procs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/engsim"
)

type (
	// Caller is a client of the VMs' HTTP API that authenticates with a team key.
	Caller struct {
		Key   string
		Model string
	}

	// Refusal is an error response or an error event of a stream, with its code and outcome.
	Refusal struct {
		Code    teaselstream.Code
		Message string
		// Outcome is NotRun, Ran or Unknown: whether the request was executed, according to the VM.
		Outcome string
	}

	// Call is a request to a plain service.
	Call struct {
		Method, Service, Path, Body string
		// IdempotencyKey is sent unless it is empty, and Created, the time at which the key was made, unless it is zero.
		IdempotencyKey string
		Created        time.Time
		// Deadline is sent to the VM; with 0 the environment document's default applies.
		Deadline time.Duration
	}

	chunk struct {
		Choices []struct {
			Text   string  `json:"text"`
			Reason *string `json:"finish_reason"`
		} `json:"choices"`
		Error *Refusal
	}
)

var (
	// ErrWrongAnswer reports a malformed or unexpected answer.
	ErrWrongAnswer = errors.New("unexpected answer")
	// ErrInterrupted reports a connection that broke, or a stream that ended without its terminal event.
	ErrInterrupted = errors.New("request interrupted")
	// errNotReady reports that no VM takes new requests.
	errNotReady = errors.New("no VM is ready")

	// client opens a new connection for each request, as callers behind a balancer do.
	client = &http.Client{Timeout: hangTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
)

// Error describes the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message) }

// ReadyAddress returns the first address, starting at the n-th, whose VM reports ready.
func ReadyAddress(addresses []string, n int) (string, error) {
	for i := range addresses {
		a := addresses[(n+i)%len(addresses)]
		if status, _, err := get(a, "/readyz"); err == nil && status == http.StatusOK {
			return a, nil
		}
	}
	return "", errNotReady
}

// Stream requests a streamed completion and compares it with the answer that the simulated engines give to the prompt.
func (c Caller) Stream(address, prompt string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": c.Model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	resp, err := c.send(address, "/v1/completions", Call{Method: http.MethodPost, Body: string(body)})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	text, err := readStream(resp.Body)
	if err == nil && text != strings.Join(engsim.Answer(prompt, tokens), "") {
		err = fmt.Errorf("%w: %q", ErrWrongAnswer, text)
	}
	return err
}

// Call sends a request to a plain service and returns the status and body of the answer.
func (c Caller) Call(address string, q Call) (int, string, error) {
	resp, err := c.send(address, "/svc/"+q.Service+q.Path, q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") == "application/json" && resp.StatusCode >= http.StatusBadRequest {
		return 0, "", readRefusal(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%w: read answer: %w", ErrInterrupted, err)
	}
	return resp.StatusCode, strings.TrimSpace(string(body)), nil
}

func (c Caller) send(address, path string, q Call) (*http.Response, error) {
	r, err := http.NewRequest(q.Method, "http://"+address+path, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if q.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if !q.Created.IsZero() {
		r.Header.Set("Idempotency-Created", q.Created.UTC().Format(time.RFC3339))
	}
	if q.Deadline > 0 {
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: send request: %w", ErrInterrupted, err)
	}
	return resp, nil
}

func readRefusal(resp *http.Response) error {
	var b struct{ Error *Refusal }
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil || b.Error == nil {
		return fmt.Errorf("status %s without an error body", resp.Status)
	}
	return b.Error
}

// readStream returns the text of a stream, which must end with a finish reason and [DONE].
func readStream(r io.Reader) (string, error) {
	var text strings.Builder
	finished, done := false, false
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		switch {
		case !ok:
			continue
		case done:
			return text.String(), fmt.Errorf("%w: event after [DONE]: %s", ErrWrongAnswer, data)
		case data == "[DONE]":
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text.String(), fmt.Errorf("%w: parse chunk: %w", ErrWrongAnswer, err)
		}
		if c.Error != nil {
			return text.String(), c.Error
		}
		for _, x := range c.Choices {
			text.WriteString(x.Text)
			finished = finished || x.Reason != nil
		}
	}
	if err := s.Err(); err != nil {
		return text.String(), fmt.Errorf("%w: read stream: %w", ErrInterrupted, err)
	}
	if !finished || !done {
		return text.String(), fmt.Errorf("%w: stream ended without a terminal event after %q", ErrInterrupted, text.String())
	}
	return text.String(), nil
}

// get sends an unauthenticated GET request.
func get(address, path string) (int, []byte, error) {
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	return resp.StatusCode, body, nil
}

// OrderCounts returns the number of times that each order ran, from the statistics of a replica of the simulated service.
func OrderCounts(replica string) (map[string]int, error) {
	_, body, err := get(replica, "/v1/stats")
	if err != nil {
		return nil, err
	}
	var orders map[string]struct{ Count int }
	if err := json.Unmarshal(body, &orders); err != nil {
		return nil, fmt.Errorf("parse order counts: %w", err)
	}
	out := make(map[string]int, len(orders))
	for k, o := range orders {
		out[k] = o.Count
	}
	return out, nil
}
