package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/teaselstream/teaselstream"
)

type (
	// callEnd is the result that a caller received.
	callEnd struct {
		answer  string
		outcome teaselstream.Outcome
		failed  bool
	}
)

// keyModel is the sequential model of one key: the call has not run (""), or it has run with an answer.
//
// A call without a reply or with the outcome Unknown may have run at any later time.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, e := state.(string), output.(callEnd)
		switch {
		case !e.failed && ran == "":
			return []any{e.answer}
		case !e.failed && ran == e.answer:
			return []any{ran}
		case e.failed && e.outcome == teaselstream.NotRun && ran == "":
			return []any{ran}
		case e.failed && e.outcome == teaselstream.Ran && ran != "":
			return []any{ran}
		case e.failed && e.outcome != teaselstream.NotRun && ran == "":
			return []any{e.answer, ""}
		case e.failed && e.outcome == teaselstream.Unknown:
			return []any{ran}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history returns the operations on each key. A call without a reply or with the outcome Unknown stays open until the
// end of the run.
func history(r Result) map[string][]porcupine.Operation {
	ops := make(map[string][]porcupine.Operation)
	for _, c := range r.Calls {
		end := c.Replied
		e := callEnd{answer: string(c.Reply.Answer.Body)}
		if c.Reply.Err != nil || c.Replied.IsZero() {
			// Only the answer of the key's first run is possible, whichever caller receives it.
			e = callEnd{failed: true, answer: c.Key + "#1"}
		}
		if c.Reply.Err != nil {
			e.outcome = c.Reply.Err.Outcome
		}
		if e.failed && e.outcome == teaselstream.Unknown {
			end = Start.Add(runTime + time.Hour)
		}
		ops[c.Key] = append(ops[c.Key], porcupine.Operation{
			ClientId: len(ops[c.Key]), Input: c.Key, Output: e,
			Call: c.Submitted.UnixNano(), Return: end.UnixNano(),
		})
	}
	return ops
}

// Guards against histories that no sequence of single runs explains, for example NotRun after an answer.
func TestLinearizable(t *testing.T) {
	m := keyModel.ToModel()
	for seed := range uint64(100) {
		for key, ops := range history(Run(rand.New(rand.NewPCG(seed, 9)), 0)) {
			if !porcupine.CheckOperations(m, ops) {
				t.Fatalf("seed %d: the history of key %s is not linearizable: %+v", seed, key, ops)
			}
		}
	}
}

// Guards against a model that accepts every history: it must reject a second answer and a NotRun after an answer.
func TestModelRefusesFaults(t *testing.T) {
	m := keyModel.ToModel()
	early := porcupine.Operation{ClientId: 0, Output: callEnd{answer: "k#1"}, Call: 1, Return: 2}
	for _, late := range []callEnd{{answer: "k#2"}, {failed: true, outcome: teaselstream.NotRun}} {
		ops := []porcupine.Operation{early, {ClientId: 1, Output: late, Call: 3, Return: 4}}
		if porcupine.CheckOperations(m, ops) {
			t.Errorf("the model accepts %+v after an answer", late)
		}
	}
}
