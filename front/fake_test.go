package front

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// echoServices answers a call with a description of it; a call of the path /lost fails.
	echoServices struct{}

	echoOperator struct{}
)

func (echoServices) Handle(_ context.Context, c teaselstream.ServiceCall, t teaselstream.TeamID, v teaselstream.ServiceID, deadline time.Time) (teaselstream.ServiceAnswer, error) {
	if c.Path == "/lost" {
		return teaselstream.ServiceAnswer{}, &teaselstream.Error{Code: teaselstream.CodeOutcomeUnknown, Message: "the answer is lost", RetryAfter: 1500 * time.Millisecond}
	}
	text := fmt.Sprintf("%s %s of %s for %s, key %q, headers %q, body %q, in time %v",
		c.Method, c.Path, v, t, c.Key, c.Header, c.Body, time.Until(deadline) > 0)
	return teaselstream.ServiceAnswer{Status: 201, Header: [][2]string{{"Content-Type", "text/plain"}}, Body: []byte(text)}, nil
}

func (echoOperator) Status() any { return map[string]int{"InFlight": 0} }

func (echoOperator) Trial() any { return map[string]bool{"InTrial": false} }

// Guards against an answer that reaches the wrong caller because two callers chose the same request id.
func TestRequestIDsAreUnique(t *testing.T) {
	var a, b idGenerator
	a.init("vm")
	b.init("vm")
	var mu sync.Mutex
	seen := make(map[teaselstream.RequestID]bool)
	var wait sync.WaitGroup
	for _, s := range []*idGenerator{&a, &a, &b, &b} {
		wait.Go(func() {
			for range 1000 {
				id := s.make([]byte("same"))
				mu.Lock()
				if seen[id] {
					t.Errorf("id %s was made twice", id)
				}
				seen[id] = true
				mu.Unlock()
			}
		})
	}
	wait.Wait()
}
