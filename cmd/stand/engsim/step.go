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
	// prefillBatch is the number of prompt tokens that take the time of one answer token.
	prefillBatch = 64
	stallCheck   = 5 * time.Millisecond
)

type (
	// Step is one token's pass through a chain, as one stage hands it to the next.
	Step struct {
		Request  teaselstream.RequestID
		Attempt  teaselstream.Attempt
		Model    teaselstream.ModelID
		Prompt   string
		Index    teaselstream.TokenIndex
		Priority teaselstream.Priority
		// Diverged marks a stream that was resumed with other tokens than the engine's own.
		Diverged bool
		Chain    []teaselstream.Hop
		Stage    teaselstream.StageIndex
		Receipts []teaselstream.Receipt
	}

	// StepResult is a sampled token or the stage that was lost.
	StepResult struct {
		Text     string
		Receipts []teaselstream.Receipt
		Lost     *teaselstream.LostEvent `json:",omitempty"`
	}
)

// step serves the hop from another stage.
func (e *Engine) step(w http.ResponseWriter, r *http.Request) {
	var s Step
	if !reply.ReadJSON(w, r, &s) {
		return
	}
	if int(s.Stage) >= len(s.Chain) || s.Stage < 0 {
		reply.Error(w, http.StatusBadRequest, "stage %d is not in the chain", s.Stage)
		return
	}
	st := e.enter(s.Request, s.Attempt)
	if st == nil {
		reply.Error(w, http.StatusConflict, "a newer attempt of request %s has been seen", s.Request)
		return
	}
	a := e.run(r.Context(), st, s)
	breakIfCrashed(r.Context())
	reply.JSON(w, http.StatusOK, a)
}

// run passes a step through this engine's layers and the rest of the chain.
func (e *Engine) run(ctx context.Context, st *state, s Step) StepResult {
	hop := s.Chain[s.Stage]
	if why := e.refuses(s, hop); why != "" {
		return s.lost(s.Stage, why)
	}
	if !e.compute(ctx, st, s, hop) {
		return s.lost(s.Stage, "Canceled")
	}
	s.Receipts = append(s.Receipts, teaselstream.Receipt{Server: e.options.Name, From: hop.From, To: hop.To})
	s.Stage++
	if int(s.Stage) < len(s.Chain) {
		return e.next(ctx, s)
	}
	text := Token(s.Prompt, int(s.Index))
	if s.Diverged || e.Faults.Get().Wrong {
		text += "?"
	}
	return StepResult{Text: text, Receipts: s.Receipts}
}

// refuses says why the engine cannot run a step, or returns an empty text.
func (e *Engine) refuses(s Step, hop teaselstream.Hop) string {
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

// compute takes the time of the step's layers, with recomputation of what the KV cache lacks.
func (e *Engine) compute(ctx context.Context, st *state, s Step, hop teaselstream.Hop) bool {
	if on := e.Faults.Get().CrashOn; on != "" && strings.Contains(s.Prompt, on) {
		e.Crash()
		reply.Abort()
	}
	for e.Faults.Get().Stall {
		if !reply.Sleep(ctx, stallCheck) {
			return false
		}
	}
	if e.countDown() {
		e.Crash()
		reply.Abort()
	}
	if !e.slots.acquire(ctx, s.Priority) {
		return false
	}
	defer e.slots.release()
	if e.covered(st) == 0 && hop.Import != "" {
		e.fetch(ctx, st, hop.Import, hop)
	}
	cached := 0
	if e.covered(st) == 0 {
		cached = e.cache.use(s.Model, s.Prompt)
	}
	lacking := e.cover(st, countTokens(s.Prompt), s.Index, cached)
	passes := 1 + float64(lacking-1)/prefillBatch
	if f := e.Faults.Get().Slow; f > 0 {
		passes *= f
	}
	e.steps.Add(1)
	layers := int(hop.To - hop.From)
	return reply.Sleep(ctx, time.Duration(float64(e.options.TimePerLayer)*float64(layers)*passes))
}

// countDown reports whether this step is the one at which the engine is to crash.
func (e *Engine) countDown() (now bool) {
	e.Faults.Change(func(f *Faults) {
		if f.CrashAfter > 0 {
			f.CrashAfter--
			now = f.CrashAfter == 0
		}
	})
	return now
}

// next hands the step to the stage that follows.
func (e *Engine) next(ctx context.Context, s Step) StepResult {
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
