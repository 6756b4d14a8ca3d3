package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// scriptedEngine answers with the words of the prompt. Some words inject a
// fault on the first attempt: "<lost>" reports the loss of the last stage,
// "<reset>" breaks the connection, "<hang>" stalls, "<gap>" omits a receipt,
// "<old>" sends a token of another request. "<die>" breaks the connection on
// every attempt.
type scriptedEngine struct{}

// ServeHTTP implements the engine's protocol.
func (scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load":
		_, _ = w.Write([]byte("{}"))
	case "/v1/streams":
		var q teaselstream.StreamRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		writeAnswer(w, r, q)
	}
}

func writeAnswer(w http.ResponseWriter, r *http.Request, q teaselstream.StreamRequest) {
	words := strings.SplitAfter(q.Prompt, " ")
	var sequence teaselstream.Sequence
	index := 0
	for _, word := range words {
		if fault := strings.TrimSpace(word); strings.HasPrefix(fault, "<") {
			if q.Attempt == 1 || fault == "<die>" {
				if !injectFault(w, r, q, fault, sequence, index) {
					return
				}
			}
			continue
		}
		if index == q.MaxTokens {
			break
		}
		if index >= len(q.Emitted) {
			sequence++
			writeToken(w, q, sequence, index, word, q.Chain)
		}
		index++
	}
	sequence++
	writeEvent(w, "done", teaselstream.DoneEvent{Request: q.Request, Attempt: q.Attempt, Sequence: sequence, Reason: "stop", Tokens: index})
}

// injectFault injects a fault and reports whether the stream continues.
func injectFault(w http.ResponseWriter, r *http.Request, q teaselstream.StreamRequest, fault string, s teaselstream.Sequence, index int) bool {
	switch fault {
	case "<lost>":
		last := len(q.Chain) - 1
		writeEvent(w, "lost", teaselstream.LostEvent{Request: q.Request, Attempt: q.Attempt, Stage: teaselstream.StageIndex(last), Server: q.Chain[last].Server})
	case "<hang>":
		<-r.Context().Done()
	case "<gap>":
		writeToken(w, q, s+1, index, "wrong ", q.Chain[1:])
	case "<old>":
		other := q
		other.Request = "another"
		writeToken(w, other, s+1, index, "foreign ", q.Chain)
		return true
	default:
		panic(http.ErrAbortHandler)
	}
	return false
}

func writeToken(w http.ResponseWriter, q teaselstream.StreamRequest, s teaselstream.Sequence, index int, text string, chain []teaselstream.Hop) {
	e := teaselstream.TokenEvent{Request: q.Request, Attempt: q.Attempt, Sequence: s, Index: teaselstream.TokenIndex(index), Text: text}
	for _, h := range chain {
		e.Receipts = append(e.Receipts, teaselstream.Receipt{Server: h.Server, From: h.From, To: h.To})
	}
	writeEvent(w, "token", e)
}

func writeEvent(w http.ResponseWriter, name string, e any) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
	w.(http.Flusher).Flush()
}
