package flow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against calls that run twice although they are not idempotent, run on more replicas than their route allows, are
// reported as not run although they may have run, or wait while another replica could answer.
func TestCallScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/call", func(t *testing.T, path string) {
		var call *Call
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "call" {
				retries, harmful := 100, d.HasArg("harmful")
				if d.HasArg("retries") {
					d.ScanArgs(t, "retries", &retries)
				}
				call = &Call{CallOptions: CallOptions{
					Idempotent: d.HasArg("idempotent"), MaxServers: 2,
					MayRun:   func() bool { return !harmful },
					MayRetry: func() bool { retries--; return retries >= 0 },
				}}
				return "ok"
			}
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				fmt.Fprintf(&out, "%s\n", line)
				for _, c := range call.Update(callMessage(t, strings.Fields(line))) {
					fmt.Fprintf(&out, "  %s\n", describe(c))
				}
			}
			return out.String()
		})
	})
}

// callMessage parses "answered ATTEMPT STATUS [notrun]", "lost ATTEMPT [notsent]", "unplaced ATTEMPT" and messages without
// arguments.
func callMessage(t *testing.T, f []string) any {
	last := f[len(f)-1]
	switch f[0] {
	case "start":
		return CallStart{}
	case "answered":
		return CallAnswered{AttemptNumber: int(numberOf(f[1])), Status: int(numberOf(f[2])), NotRun: last == "notrun"}
	case "lost":
		return CallFailed{AttemptNumber: int(numberOf(f[1])), NotSent: last == "notsent", Reason: "not answered"}
	case "unplaced":
		return CallNoReplica{AttemptNumber: int(numberOf(f[1]))}
	case "slow":
		return CallHedgeDue{}
	case "timeout":
		return TimedOut{}
	case "gone":
		return CallerDisconnected{}
	}
	t.Fatalf("unknown message %s", f[0])
	return nil
}

// Guards against a hedge that finds no replica and so uses up the attempts of a call that its first replica then refuses as not run.
func TestHedgeWithoutReplica(t *testing.T) {
	c := &Call{CallOptions: CallOptions{Idempotent: true, MaxServers: 2, MayRetry: func() bool { return true }}}
	c.Update(CallStart{})
	c.Update(CallHedgeDue{})
	c.Update(CallNoReplica{AttemptNumber: 2})
	for _, cmd := range c.Update(CallAnswered{AttemptNumber: 1, Status: 503, NotRun: true}) {
		if _, ok := cmd.(CallSend); ok {
			return
		}
	}
	t.Error("the call is not sent again after a refusal, although it was sent once")
}

// Guards against a replica's own answer that is replaced by a 504 because a second send is still under way at the deadline.
func TestFailureAnswerAtDeadline(t *testing.T) {
	c := &Call{CallOptions: CallOptions{Idempotent: true, MaxServers: 2, MayRetry: func() bool { return true }}}
	c.Update(CallStart{})
	c.Update(CallAnswered{AttemptNumber: 1, Status: 500})
	if cmds := c.Update(TimedOut{}); len(cmds) != 1 || cmds[0] != (CallDeliver{1}) {
		t.Errorf("got %v, want the answer of attempt 1", cmds)
	}
}
