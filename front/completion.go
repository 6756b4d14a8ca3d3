package front

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/shadow"
)

type (
	// completionRequest is the request body of both OpenAI completion APIs, with the fields of either.
	completionRequest struct {
		Model               string          `json:"model"`
		Prompt              json.RawMessage `json:"prompt"`
		Messages            []message       `json:"messages"`
		MaxTokens           int             `json:"max_tokens"`
		MaxCompletionTokens int             `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
		Seed                int64           `json:"seed"`
		N                   *int            `json:"n"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	contentPart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
)

func (s *Server) serveText(c *fasthttp.RequestCtx, r callerInfo) {
	s.serveCompletion(c, r, textFormat, func(q completionRequest) (string, error) {
		var prompt string
		if err := json.Unmarshal(q.Prompt, &prompt); err == nil {
			return prompt, nil
		}
		var one []string
		if err := json.Unmarshal(q.Prompt, &one); err != nil || len(one) != 1 {
			return "", refusal(teaselstream.CodeBadRequest, "prompt must be a string or an array of one string")
		}
		return one[0], nil
	})
}

func (s *Server) serveChat(c *fasthttp.RequestCtx, r callerInfo) {
	s.serveCompletion(c, r, chatFormat, func(q completionRequest) (string, error) { return chatPrompt(q.Messages) })
}

// chatPrompt joins the messages into one prompt, which ends with the role of the assistant so that the model continues
// with its answer.
func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", refusal(teaselstream.CodeBadRequest, "messages must hold at least one message")
	}
	var b strings.Builder
	for _, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + ": " + text + "\n")
	}
	b.WriteString("assistant: ")
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", refusal(teaselstream.CodeBadRequest, "content must be a string or an array of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", refusal(teaselstream.CodeBadRequest, "content parts must be of type text")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func (s *Server) serveCompletion(c *fasthttp.RequestCtx, r callerInfo, format *format, prompt func(completionRequest) (string, error)) {
	var body completionRequest
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		writeError(c, r.id, refusal(teaselstream.CodeBadRequest, "the body must be a JSON object: "+err.Error()))
		return
	}
	q := r.modelRequest(c)
	if err := fillRequest(&q, body, prompt); err != nil {
		writeError(c, r.id, err)
		return
	}
	s.options.Shadow.Offer(r.snapshot, func() shadow.Sample {
		return shadow.Sample{Key: r.key, ModelRequest: q.ModelRequest(), Worth: r.statedWorth}
	})
	session, err := s.options.Models.Open(q)
	if err != nil {
		writeError(c, r.id, err)
		return
	}
	a := newAnswer(session, format, r.id, body.Model, r.arrived.Unix())
	if body.Stream {
		s.stream(c, a)
		return
	}
	defer func() { _ = session.Close() }()
	data, err := a.complete()
	if err != nil {
		writeError(c, r.id, err)
		return
	}
	c.SetContentType(jsonType)
	c.SetBody(data)
}

func fillRequest(q *serve.Request, body completionRequest, prompt func(completionRequest) (string, error)) error {
	text, err := prompt(body)
	switch {
	case err != nil:
		return err
	case body.Model == "":
		return refusal(teaselstream.CodeBadRequest, "model is missing")
	case body.N != nil && *body.N != 1:
		return refusal(teaselstream.CodeBadRequest, "n must be 1")
	case body.MaxTokens < 0 || body.MaxCompletionTokens < 0:
		return refusal(teaselstream.CodeBadRequest, "max_tokens must not be negative")
	}
	q.Model, q.Prompt, q.Seed = body.Model, text, uint64(body.Seed)
	q.Streamed = body.Stream
	q.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	return nil
}
