package serve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
	"github.com/teaselstream/teaselstream/relay"
)

const (
	canaryTokens  = 16
	canaryTimeout = 10 * time.Second
	// canarySeed is the same on all VMs, so that correct answers are identical and can be compared.
	canarySeed = 1
)

var errCanaryIncomplete = errors.New("canary stream did not give a complete answer")

// Canary runs a model's canary prompt once on a chain that includes the server and returns the digest of the answer.
//
// It bypasses admission and is not retried, since the answer of another chain would not test the server.
func (s *Service) Canary(ctx context.Context, c health.Canary) (health.CanaryAnswer, error) {
	var none health.CanaryAnswer
	snap := s.options.Snapshot()
	if snap == nil || snap.Document == nil || snap.Document.Models[c.Model].CanaryPrompt == "" {
		return none, fmt.Errorf("canary of model %s: %w", c.Model, teaselstream.ErrNotFound)
	}
	p, err := s.canaryPlan(snap, c)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, canaryTimeout)
	defer cancel()
	s.options.Planner.Started(time.Now(), p)
	defer func() { s.options.Planner.Finished(time.Now(), p) }()
	m := snap.Document.Models[c.Model]
	q := teaselstream.StreamRequest{
		Request: teaselstream.RequestID(string(snap.VM) + "-canary-" + strconv.FormatInt(time.Now().UnixNano(), 36)),
		Attempt: 1, Model: m.Name, Version: m.Version, Prompt: m.CanaryPrompt, MaxTokens: canaryTokens, Seed: canarySeed, Chain: p.Chain,
	}
	text, err := s.runCanary(ctx, q, m.Layers)
	if err != nil {
		return none, fmt.Errorf("canary through %s: %w", c.Server, err)
	}
	sum := sha256.Sum256([]byte(text))
	a := health.CanaryAnswer{Model: c.Model, Answer: teaselstream.Digest(hex.EncodeToString(sum[:]))}
	for _, h := range p.Chain {
		a.Chain = append(a.Chain, h.Server)
	}
	return a, nil
}

// canaryPlan plans a chain on which the server runs its whole layer range. The chain uses the servers in c.Avoid only if
// no other chain includes the server.
func (s *Service) canaryPlan(snap *teaselstream.Snapshot, c health.Canary) (teaselstream.Plan, error) {
	v := snap.Servers[c.Server]
	r := teaselstream.PlanRequest{
		Model: c.Model, PromptTokens: 1, MaxTokens: canaryTokens, Avoid: map[teaselstream.ServerID]bool{},
		Keep: []teaselstream.Hop{{Server: c.Server, Address: v.Address, From: v.Layers.From, To: v.Layers.To}},
	}
	for _, id := range c.Avoid {
		r.Avoid[id] = true
	}
	now := time.Now()
	for range 2 {
		if p, ok := s.options.Planner.Plan(now, snap, r); ok {
			for _, h := range p.Chain {
				if h.Server == c.Server {
					return p, nil
				}
			}
		}
		r.Avoid = nil
	}
	return teaselstream.Plan{}, fmt.Errorf("canary through %s: %w: no chain includes the server", c.Server, teaselstream.ErrUnavailable)
}

func (s *Service) runCanary(ctx context.Context, q teaselstream.StreamRequest, layers teaselstream.Layer) (string, error) {
	stream, err := s.options.Engine.Start(ctx, q.Chain[0].Address, q)
	if err != nil {
		return "", fmt.Errorf("start: %w", err)
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for ctx.Err() == nil {
		m, err := stream.Next(tickPeriod)
		if err != nil {
			return "", fmt.Errorf("read: %w", err)
		}
		switch m := m.(type) {
		case *teaselstream.TokenEvent:
			if m.Request != q.Request || !relay.ReceiptsCover(m.Receipts, layers) {
				return "", errCanaryIncomplete
			}
			text.WriteString(m.Text)
		case teaselstream.DoneEvent:
			return text.String(), nil
		case teaselstream.LostEvent:
			return "", errCanaryIncomplete
		}
	}
	return "", ctx.Err()
}
