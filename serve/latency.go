package serve

import (
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
)

// Latency reports the mean time between the tokens of one attempt.
type Latency = health.Latency

// minLatencyTokens is the minimum number of tokens for a meaningful mean.
const minLatencyTokens = 8

// tokenTiming records the times of an attempt's first and last token and the number of its tokens.
type tokenTiming struct {
	first, last time.Time
	tokens      int
}

func (t *tokenTiming) add(now time.Time) {
	if t.tokens == 0 {
		t.first = now
	}
	t.last = now
	t.tokens++
}

// reportLatency reports the mean time between the tokens of the ended attempt, if it produced enough tokens.
func (n *Session) reportLatency() {
	t := n.tokenTiming
	n.tokenTiming = tokenTiming{}
	o := &n.service.options
	if o.Latency == nil || t.tokens < minLatencyTokens {
		return
	}
	o.Latency(Latency{
		Chain: n.plan.Chain, PerToken: t.last.Sub(t.first) / time.Duration(t.tokens-1),
		Transfer: transfer(o.Snapshot(), n.plan.Chain),
	})
}

// transfer returns the sum of the link latencies between the stages of a chain, which a token passes in turn.
func transfer(s *teaselstream.Snapshot, chain []teaselstream.Hop) time.Duration {
	var sum time.Duration
	for i := 1; i < len(chain); i++ {
		a, b := s.Servers[chain[i-1].Server].Domain, s.Servers[chain[i].Server].Domain
		for _, l := range s.Document.Links {
			if l.A == a && l.B == b || l.A == b && l.B == a {
				sum += l.Latency
			}
		}
	}
	return sum
}
