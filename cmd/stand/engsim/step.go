package engsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

const (
	// prefillBatch is the number of prompt tokens that the engine computes in the time of one answer token.
	prefillBatch    = 64
	stallPollPeriod = 5 * time.Millisecond
)

type (
	// Step is the computation of one token along a chain, as each stage sends it to the next.
	Step struct {
		Request  teaselstream.RequestID
		Attempt  teaselstream.Attempt
		Model    teaselstream.ModelID
		Prompt   string
		Index    teaselstream.TokenIndex
		Priority teaselstream.Priority
		// Diverged marks a stream resumed after tokens that the engine would not have generated.
		Diverged bool
		Chain    []teaselstream.Hop
		Stage    teaselstream.StageIndex
		Receipts []teaselstream.Receipt
	}

	// StepResult holds the generated token, or the stage that failed.
	StepResult struct {
		Text     string
		Receipts []teaselstream.Receipt
		Lost     *teaselstream.LostEvent `json:",omitempty"`
	}
)

// step handles a step sent by the preceding stage.
func (e *Engine) step(w http.ResponseWriter, r *http.Request) {
	var s Step
	if !reply.ReadJSON(w, r, &s) {
		return
	}
	if int(s.Stage) >= len(s.Chain) || s.Stage < 0 {
		reply.Error(w, http.StatusBadRequest, "stage %d is not in the chain", s.Stage)
		return
	}
	st := e.beginAttempt(s.Request, s.Attempt)
	if st == nil {
		// The attempt may also be canceled.
		reply.Error(w, http.StatusConflict, "a newer attempt of request %s has been seen", s.Request)
		return
	}
	a := e.run(r.Context(), st, s)
	breakIfCrashed(r.Context())
	reply.JSON(w, http.StatusOK, a)
}

// run computes a step on this engine's layers and passes it to the rest of the chain.
func (e *Engine) run(ctx context.Context, st *state, s Step) StepResult {
	hop := s.Chain[s.Stage]
	if why := e.refusalReason(s, hop); why != "" {
		return s.lost(s.Stage, why)
	}
	if !e.compute(ctx, st, s, hop) {
		return s.lost(s.Stage, "Canceled")
	}
	s.Receipts = append(s.Receipts, teaselstream.Receipt{Server: e.options.Name, From: hop.From, To: hop.To})
	s.Stage++
	if int(s.Stage) < len(s.Chain) {
		return e.nextStage(ctx, s)
	}
	text := Token(s.Prompt, int(s.Index))
	if s.Diverged || e.Faults.Get().Wrong {
		text += "?"
	}
	return StepResult{Text: text, Receipts: s.Receipts}
}

// refusalReason returns why the engine cannot run a step, or an empty string.
func (e *Engine) refusalReason(s Step, hop teaselstream.Hop) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case hop.Server != e.options.Name:
		return "WrongServer"
	case s.Model != e.order.Model:
		return "WrongModel"
	case hop.From >= hop.To || hop.From < e.layers.From || hop.To > e.layers.To:
		return "LayersNotHeld"
	}
	return ""
}

// compute sleeps for the time that the step's layers take, with recomputation of the tokens that the KV cache lacks.
// It applies the injected faults and returns false if the context ends first.
func (e *Engine) compute(ctx context.Context, st *state, s Step, hop teaselstream.Hop) bool {
	if on := e.Faults.Get().CrashOn; on != "" && strings.Contains(s.Prompt, on) {
		e.Crash()
		reply.Abort()
	}
	for e.Faults.Get().Stall {
		if !reply.Sleep(ctx, stallPollPeriod) {
			return false
		}
	}
	if e.crashDue() {
		e.Crash()
		reply.Abort()
	}
	if !e.slots.acquire(ctx, s.Priority) {
		return false
	}
	defer e.slots.release()
	if e.cachedTokens(st) == 0 && hop.Import != "" {
		e.fetchExport(ctx, st, hop.Import, hop)
	}
	cached := 0
	if e.cachedTokens(st) == 0 {
		cached = e.cache.lookup(s.Model, s.Prompt)
	}
	lacking := e.extendCache(st, countTokens(s.Prompt), s.Index, cached)
	passes := 1 + float64(lacking-1)/prefillBatch
	if f := e.Faults.Get().Slow; f > 0 {
		passes *= f
	}
	e.steps.Add(1)
	layers := int(hop.To - hop.From)
	return reply.Sleep(ctx, time.Duration(float64(e.options.TimePerLayer)*float64(layers)*passes))
}

// crashDue counts the step against CrashAfter and reports whether the engine crashes at it.
func (e *Engine) crashDue() (now bool) {
	e.Faults.Change(func(f *Faults) {
		if f.CrashAfter > 0 {
			f.CrashAfter--
			now = f.CrashAfter == 0
		}
	})
	return now
}

// nextStage sends the step to the next stage and returns its result; an error becomes the loss of that stage.
func (e *Engine) nextStage(ctx context.Context, s Step) StepResult {
	answer, err := e.post(ctx, s)
	if err != nil {
		return s.lost(s.Stage, err.Error())
	}
	return answer
}

func (e *Engine) post(ctx context.Context, s Step) (StepResult, error) {
	var a StepResult
	body, err := json.Marshal(s)
	if err != nil {
		return a, fmt.Errorf("encode step: %w", err)
	}
	url := "http://" + s.Chain[s.Stage].Address + "/v1/steps"
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("next stage: %w", err)
	}
	resp, err := e.client.Do(q)
	if err != nil {
		return a, fmt.Errorf("next stage: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return a, fmt.Errorf("next stage: %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return a, fmt.Errorf("next stage: %w", err)
	}
	return a, nil
}

func (s Step) lost(stage teaselstream.StageIndex, reason string) StepResult {
	return StepResult{Lost: &teaselstream.LostEvent{
		Request: s.Request, Attempt: s.Attempt, Stage: stage, Server: s.Chain[stage].Server, Reason: reason,
	}}
}
