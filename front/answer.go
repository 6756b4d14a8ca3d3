package front

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/serve"
)

type (
	// format is one of the two OpenAI answer formats.
	format struct {
		object, chunkObject string
		// deltaStart and deltaEnd enclose the text of a streamed choice.
		deltaStart, deltaEnd string
		// finalStart is the choice of the last chunk, up to the value of its finish_reason.
		finalStart string
		// complete returns the choice of an answer that is not streamed.
		complete func(text, reason string) any
	}

	// answer renders the tokens of one session in an OpenAI format.
	answer struct {
		session *serve.Session
		format  *format
		id      teaselstream.RequestID
		model   string
		created int64
		// chunkStart is the text that every chunk of a streamed answer starts with.
		chunkStart string
	}

	usage struct {
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	completion struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
		Choices []any  `json:"choices"`
		Usage   usage  `json:"usage"`
	}

	textChoice struct {
		Index  int    `json:"index"`
		Text   string `json:"text"`
		Reason string `json:"finish_reason"`
	}

	chatChoice struct {
		Index   int         `json:"index"`
		Message chatMessage `json:"message"`
		Reason  string      `json:"finish_reason"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

var (
	textFormat = &format{
		object: "text_completion", chunkObject: "text_completion",
		deltaStart: `{"index":0,"text":"`, deltaEnd: `","finish_reason":null}`,
		finalStart: `{"index":0,"text":"","finish_reason":`,
		complete:   func(text, reason string) any { return textChoice{Text: text, Reason: reason} },
	}
	chatFormat = &format{
		object: "chat.completion", chunkObject: "chat.completion.chunk",
		deltaStart: `{"index":0,"delta":{"content":"`, deltaEnd: `"},"finish_reason":null}`,
		finalStart: `{"index":0,"delta":{},"finish_reason":`,
		complete: func(text, reason string) any {
			return chatChoice{Message: chatMessage{Role: "assistant", Content: text}, Reason: reason}
		},
	}
)

func newAnswer(session *serve.Session, f *format, id teaselstream.RequestID, model string, created int64) *answer {
	return &answer{session: session, format: f, id: id, model: model, created: created}
}

// complete waits for the end of the answer and returns it as one JSON object.
func (a *answer) complete() ([]byte, error) {
	var text strings.Builder
	for {
		t, ok, err := a.session.Next()
		if err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		text.WriteString(t)
	}
	n := a.session.Tokens()
	data, err := json.Marshal(completion{
		ID: string(a.id), Object: a.format.object, Created: a.created, Model: a.model,
		Choices: []any{a.format.complete(text.String(), a.session.Reason())},
		Usage:   usage{CompletionTokens: n, TotalTokens: n},
	})
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return data, nil
}

// prepareChunks renders the start that all chunks share.
func (a *answer) prepareChunks() {
	b := append([]byte(`data: {"id":"`), a.id...)
	b = append(b, `","object":"`+a.format.chunkObject+`","created":`...)
	b = strconv.AppendInt(b, a.created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, a.model)
	a.chunkStart = string(append(b, `,"choices":[`...))
}

func (a *answer) appendToken(b []byte, text string) []byte {
	b = append(b, a.chunkStart...)
	b = append(b, a.format.deltaStart...)
	b = appendEscaped(b, text)
	b = append(b, a.format.deltaEnd...)
	return append(b, "]}\n\n"...)
}

func (a *answer) appendEnd(b []byte, reason string) []byte {
	b = append(b, a.chunkStart...)
	b = append(b, a.format.finalStart...)
	b = appendString(b, reason)
	return append(b, "}]}\n\ndata: [DONE]\n\n"...)
}

func (a *answer) appendError(b []byte, err error) []byte {
	b = append(b, "event: error\ndata: "...)
	b = append(b, encodeError(a.id, callerError(err))...)
	return append(b, "\n\n"...)
}

func appendString(b []byte, s string) []byte {
	return append(appendEscaped(append(b, '"'), s), '"')
}

// appendEscaped appends s escaped for use inside a JSON string. It keeps invalid UTF-8, since a character may be split
// between two tokens.
func appendEscaped(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < 0x20 || c == 0x7f:
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return b
}
