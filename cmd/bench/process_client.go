package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/teaselstream/teaselstream"
)

// streamClient repeats one request on one connection and counts the tokens of the answers.
type streamClient struct {
	conn    net.Conn
	request []byte
	buffer  []byte
	tokens  int
	ended   bool
}

// clientTimeout ends a run that hangs.
const clientTimeout = 15 * time.Second

var (
	tokenPrefix = []byte("data: {")
	lastChunk   = []byte("\r\n0\r\n\r\n")
)

func dialClient(address string, request []byte) (*streamClient, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if err := c.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	return &streamClient{conn: c, request: request, buffer: make([]byte, 0, 1024)}, nil
}

func (c *streamClient) close() { _ = c.conn.Close() }

// firstToken sends the request and returns the time to the first token. If the request asks for one token, it also reads
// the answer to its end.
func (c *streamClient) firstToken() (time.Duration, error) {
	start := time.Now()
	if _, err := c.conn.Write(c.request); err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	var first time.Duration
	c.buffer = c.buffer[:0]
	for {
		if first == 0 && bytes.Contains(c.buffer, tokenPrefix) {
			first = time.Since(start)
			if !bytes.Contains(c.request, directOneToken) && !bytes.Contains(c.request, routedOneToken) {
				return first, nil
			}
		}
		if bytes.HasSuffix(c.buffer, lastChunk) {
			return first, nil
		}
		if err := c.read(); err != nil {
			return 0, err
		}
	}
}

// readFirstToken sends the request and reads until at least one token has arrived.
func (c *streamClient) readFirstToken() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	c.buffer = c.buffer[:0]
	for c.tokens == 0 {
		if err := c.readTokens(); err != nil {
			return err
		}
	}
	return nil
}

// finish reads the answer to its end.
func (c *streamClient) finish() error {
	for !c.ended {
		if err := c.readTokens(); err != nil {
			return err
		}
	}
	return nil
}

// readTokens reads once and counts the tokens; the last event of an answer is not a token.
func (c *streamClient) readTokens() error {
	if err := c.read(); err != nil {
		return err
	}
	c.tokens += bytes.Count(c.buffer, tokenPrefix)
	if bytes.HasSuffix(c.buffer, lastChunk) {
		c.tokens--
		c.ended = true
	}
	// A token prefix or the last chunk may be split across two reads.
	keep := min(len(c.buffer), len(tokenPrefix)-1)
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[len(c.buffer)-keep:])]
	return nil
}

func (c *streamClient) read() error {
	if len(c.buffer) == cap(c.buffer) {
		c.buffer = append(c.buffer, make([]byte, cap(c.buffer))...)[:len(c.buffer)]
	}
	n, err := c.conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n == 0 && err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

var (
	directOneToken = []byte(`"MaxTokens":1,`)
	routedOneToken = []byte(`"max_tokens":1,`)
)

func directRequest(prompt string, tokens int) []byte {
	body, err := json.Marshal(teaselstream.StreamRequest{
		Request: "direct", Attempt: 1, Model: "large", Prompt: prompt, MaxTokens: tokens,
		Chain: []teaselstream.Hop{
			{Server: "head", From: 0, To: processLayers / 2}, {Server: "tail", From: processLayers / 2, To: processLayers},
		},
	})
	if err != nil {
		panic(err)
	}
	return postRequest("/v1/streams", body)
}

func routedRequest(prompt string, tokens int) []byte {
	return postRequest("/v1/completions", fmt.Appendf(nil, `{"model":"large","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens))
}

func postRequest(path string, body []byte) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer alpha-key\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", path, len(body), body)
}
