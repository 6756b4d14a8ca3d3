package engsim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

// stream handles a streaming request as the first engine of its chain.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	var q teaselstream.StreamRequest
	if !reply.ReadJSON(w, r, &q) {
		return
	}
	if q.Request == "" || q.Attempt == 0 || len(q.Chain) == 0 || q.Chain[0].Server != e.options.Name {
		reply.Error(w, http.StatusBadRequest, "stream: accepted: Request, Attempt of at least 1 and a Chain that starts with %s", e.options.Name)
		return
	}
	st := e.beginAttempt(q.Request, q.Attempt)
	if st == nil {
		// The attempt may also be canceled.
		reply.Error(w, http.StatusConflict, "a newer attempt of request %s has been seen", q.Request)
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	e.update(st, func(s *state) { s.stop = stop })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.generate(ctx, w, st, q)
	e.update(st, func(s *state) {
		if s.attempt == q.Attempt {
			s.finished, s.stop = true, nil
		}
	})
}

// generate sends the token events and then one event that ends the stream.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, st *state, q teaselstream.StreamRequest) {
	end, reason := q.MaxTokens, "length"
	if e.options.AnswerTokens > 0 && e.options.AnswerTokens <= end {
		end, reason = e.options.AnswerTokens, "stop"
	}
	step := Step{
		Request: q.Request, Attempt: q.Attempt, Model: q.Model, Prompt: q.Prompt, Priority: q.Priority,
		Diverged: diverges(q.Prompt, q.Emitted), Chain: q.Chain,
	}
	var sequence teaselstream.Sequence
	for i := len(q.Emitted); i < end; i++ {
		step.Index = teaselstream.TokenIndex(i)
		a := e.run(ctx, st, step)
		breakIfCrashed(ctx)
		if ctx.Err() != nil {
			// The caller has disconnected or canceled the attempt, so an interrupted step is not reported as the loss of a stage.
			reason, end = "canceled", i
			break
		}
		sequence++
		if a.Lost != nil {
			send(w, "lost", a.Lost)
			return
		}
		send(w, "token", teaselstream.TokenEvent{
			Request: q.Request, Attempt: q.Attempt, Sequence: sequence, Index: step.Index,
			Text: a.Text, Receipts: a.Receipts,
		})
	}
	send(w, "done", teaselstream.DoneEvent{
		Request: q.Request, Attempt: q.Attempt, Sequence: sequence + 1, Reason: reason, Tokens: max(end, len(q.Emitted)),
	})
}

func send(w http.ResponseWriter, event string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, data)
	flush(w)
}

// flush sends the buffered events; errors are ignored because the request's context ends when the caller disconnects.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	a, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "cancel: accepted: ?attempt=NUMBER")
		return
	}
	e.cancelAttempt(teaselstream.RequestID(r.PathValue("request")), teaselstream.Attempt(a))
	w.WriteHeader(http.StatusNoContent)
}
