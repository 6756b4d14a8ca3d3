package envdoc

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/vtime"
)

const env = teaselstream.Environment("demo")

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20300101", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// digestNamed returns the digest of a short name, which transcripts print in place of the digest.
func digestNamed(n string) teaselstream.Digest { return DigestOf([]byte(n)) }

// message parses "put D", "try D" or "promote D [replaces N]".
func message(t testing.TB, words []string) teaselstream.Msg {
	d := digestNamed(words[1])
	switch words[0] {
	case "put":
		return Put{Digest: d, Parts: [][]byte{[]byte("first"), []byte("second")}}
	case "try":
		return Try{Digest: d}
	case "promote":
		m := Promote{Digest: d}
		if len(words) > 3 {
			n, err := strconv.ParseUint(words[3], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			g := teaselstream.Generation(n)
			m.Replaces = &g
		}
		return m
	}
	t.Fatalf("unknown message %q", words)
	return nil
}

// Guards against two operations that both succeed in a race, a failed one that does not learn the current generation,
// and a lost answer that is reported as a failure.
func TestPromotionSessions(t *testing.T) {
	callResults := map[string]callResult{"down": refused, "lose": loseAnswer, "drop": dropWrite, "late": lateWrite}
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		var out strings.Builder
		short := strings.NewReplacer(string(digestNamed("d1")), "d1", string(digestNamed("d2")), "d2")
		f := &fakeStore{queue: vtime.NewQueue(start), records: map[string]teaselstream.Record{}}
		var left []callResult
		operations := 0
		f.callResult = func(write bool) callResult {
			if len(left) == 0 || !write && left[0] != refused {
				return answered
			}
			x := left[0]
			left = left[1:]
			return x
		}
		f.log = func(format string, args ...any) {
			fmt.Fprintf(&out, "%-8v %s\n", f.queue.Now().Sub(start), short.Replace(fmt.Sprintf(format, args...)))
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			from := f.queue.Now()
			for _, l := range strings.Split(d.Input, "\n") {
				// Each line is "TIME OPERATOR MESSAGE...", or "TIME store RESULT COUNT".
				w := strings.Fields(l)
				at, err := time.ParseDuration(w[0])
				if err != nil {
					t.Fatal(err)
				}
				f.queue.After(from.Add(at).Sub(f.queue.Now()), func() {
					if w[1] == "store" {
						n, _ := strconv.Atoi(w[3])
						for range n {
							left = append(left, callResults[w[2]])
						}
						return
					}
					operations++
					p := NewPromotion(PromotionConfig{Environment: env, Writer: w[1], Operation: w[1] + strconv.Itoa(operations)})
					f.start(w[1], p, message(t, w[2:]), func(Result) {})
				})
			}
			for f.queue.Step() {
			}
			return out.String()
		})
	})
}

// Guards against orders of faults and races that the sessions in testdata do not contain.
//
// TestMain sets the seed and the number of runs; -rapid.seed=N and -rapid.checks=N override them.
func TestPromotionRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeStore{queue: vtime.NewQueue(time.Unix(0, 0)), records: map[string]teaselstream.Record{}}
		f.log = func(format string, args ...any) {
			t.Logf("%v "+format, append([]any{f.queue.Now().Unix()}, args...)...)
		}
		faults := rapid.IntRange(0, 12).Draw(t, "faults")
		f.callResult = func(bool) callResult {
			if faults == 0 || rapid.IntRange(0, 3).Draw(t, "calm") > 0 {
				return answered
			}
			faults--
			return callResult(rapid.IntRange(int(refused), int(lateWrite)).Draw(t, "fate"))
		}
		f.swap(Write{Key: BodyKey(env, digestNamed("d1")), Value: []byte("body")})
		trial, _ := Slot{Generation: 1, Digest: digestNamed("d1"), Operation: "setup"}.Encode()
		f.swap(Write{Key: TrialKey(env), Value: trial})
		results := map[string]Result{}
		for i := range rapid.IntRange(1, 6).Draw(t, "operators") {
			op := "op" + strconv.Itoa(i)
			at := time.Duration(rapid.IntRange(0, 4000).Draw(t, "start")) * time.Millisecond
			f.queue.After(at, func() {
				p := NewPromotion(PromotionConfig{Environment: env, Writer: op, Operation: op})
				f.start(op, p, Promote{Digest: digestNamed("d1")}, func(r Result) { results[op] = r })
			})
		}
		for f.queue.Step() {
		}
		checkResults(t, f, results)
	})
}

// checkResults compares the results that the operators received with the records in the store.
func checkResults(t *rapid.T, f *fakeStore, results map[string]Result) {
	current, err := DecodeSlot(f.records[ProdKey(env)].Value)
	if err != nil {
		current = Slot{}
	}
	wrote := map[string]teaselstream.Generation{current.Operation: current.Generation}
	for g := teaselstream.Generation(1); g < current.Generation; g++ {
		s, err := DecodeSlot(f.records[HistoryKey(env, g)].Value)
		if err != nil || s.Generation != g || s.Base != g-1 {
			t.Fatalf("history of generation %d is %+v (%v)", g, s, err)
		}
		if _, twice := wrote[s.Operation]; twice {
			t.Fatalf("operation %s took effect twice", s.Operation)
		}
		wrote[s.Operation] = g
	}
	for op, r := range results {
		g, took := wrote[op]
		switch r.Outcome {
		case Done:
			if !took || g != r.Slot.Generation {
				t.Fatalf("%s was told that it wrote generation %d, but the store has %d (%v)", op, r.Slot.Generation, g, took)
			}
		case Unsettled:
		default:
			if took {
				t.Fatalf("%s was told %s, but the store shows that it wrote generation %d", op, r.Outcome, g)
			}
		}
		if r.Outcome == Lost && r.Current.Generation == 0 {
			t.Fatalf("%s lost and was not told the current generation", op)
		}
	}
}
