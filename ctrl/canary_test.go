package ctrl

import (
	"context"
	"errors"
	"testing"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/health"
)

// Guards against a canary command that is not run or whose answer is not posted, which leaves a server on probation forever.
func TestCanaryAnswerIsPosted(t *testing.T) {
	c := &Control{inbox: make(chan teaselstream.Msg, 2), ctx: t.Context()}
	c.SetCanary(func(_ context.Context, x health.Canary) (health.CanaryAnswer, error) {
		if x.Server == "silent" {
			return health.CanaryAnswer{}, errors.New("no answer")
		}
		return health.CanaryAnswer{Model: x.Model, Answer: "digest"}, nil
	})
	c.execute(health.Canary{Model: "m", Server: "silent"})
	c.execute(health.Canary{Model: "m", Server: "s"})
	c.goroutines.Wait()
	close(c.inbox)
	var got []teaselstream.Msg
	for m := range c.inbox {
		got = append(got, m)
	}
	if len(got) != 1 {
		t.Fatalf("messages = %v, want the one answer", got)
	}
	if a, ok := got[0].(health.CanaryAnswer); !ok || a.Answer != "digest" {
		t.Errorf("message = %v, want the answer of server s", got[0])
	}
}
