package status

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

func testAnswer() Answer {
	return Answer{Boot: 7, Seq: 9, Records: []Record{{
		Server: "s1", Incarnation: 5, State: fleet.Silent, Age: time.Second, SilentFor: time.Second, CutOff: true,
		Holds: teaselstream.LayerRange{From: 3, To: 8}, Running: 4, CacheUsed: 5, CacheTotal: 6, Pace: 1.5,
	}}, Teams: []TeamLoad{{"model", "alpha", 3}}}
}

func mustEncode(t testing.TB, x any) []byte {
	t.Helper()
	b, err := encode(x)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a message of a newer build, with fields that this one does not know, that is not understood.
func TestUnknownFields(t *testing.T) {
	var all map[string]any
	plain, err := cbor.Marshal(testAnswer())
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(plain, &all); err != nil {
		t.Fatal(err)
	}
	all["Later"] = []string{"x"}
	all["Records"].([]any)[0].(map[any]any)["Later"] = 1
	a, dropped, err := decodeAnswer(mustEncode(t, all))
	if err != nil || dropped != 0 || len(a.Records) != 1 || a.Records[0] != testAnswer().Records[0] {
		t.Errorf("decoded %+v, %v", a, err)
	}
}

// Guards against odd numbers in a message that enter the estimates of load, and against a message that fills the memory.
func TestOddMessages(t *testing.T) {
	change := func(f func(*Record)) Answer {
		a := testAnswer()
		f(&a.Records[0])
		return a
	}
	for name, a := range map[string]Answer{
		"negative age":     change(func(r *Record) { r.Age = -1 }),
		"pace NaN":         change(func(r *Record) { r.Pace = math.NaN() }),
		"pace infinite":    change(func(r *Record) { r.Pace = math.Inf(1) }),
		"running negative": change(func(r *Record) { r.Running = -1 }),
		"cache huge":       change(func(r *Record) { r.CacheUsed = math.MaxInt64 }),
		"layers reversed":  change(func(r *Record) { r.Holds = teaselstream.LayerRange{From: 5, To: 2} }),
		"no server":        change(func(r *Record) { r.Server = "" }),
		"state unknown":    change(func(r *Record) { r.State = 200 }),
		"silent for long":  change(func(r *Record) { r.SilentFor = 2 * maxAge }),
	} {
		sound := testAnswer().Records[0]
		sound.Server = "sound"
		a.Records = append(a.Records, sound)
		got, dropped, err := decodeAnswer(mustEncode(t, a))
		if err == nil && (dropped != 1 || len(got.Records) != 1 || got.Records[0] != sound) {
			t.Errorf("%s: decoded %+v", name, got)
		}
	}
	if _, _, err := decodeAnswer(mustEncode(t, Answer{Teams: []TeamLoad{{Running: -1}}})); err == nil {
		t.Error("a negative number of requests was decoded")
	}
	if _, _, err := decodeAnswer(mustEncode(t, make([]byte, 4*maxBytes))); err == nil {
		t.Error("a message of 4 MB was decoded")
	}
	if _, err := decodeStall(mustEncode(t, Stall{Paths: make([][]teaselstream.ServerID, maxPaths+1)})); err == nil {
		t.Error("too many paths were decoded")
	}
}

// Guards against a message of another VM that ends this one's process.
func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f, testAnswer()))
	f.Add(mustEncode(f, Ask{VM: "vm1", Boot: 1, After: 2}))
	f.Add(mustEncode(f, Stall{Paths: [][]teaselstream.ServerID{{"s1", "s2"}}}))
	f.Add(mustEncode(f, ReportAnswer{Unanswered: true}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		if a, _, err := decodeAnswer(body); err == nil {
			for _, r := range a.Records {
				if r.check() != nil {
					t.Errorf("record %+v was accepted", r)
				}
			}
		}
		if s, err := decodeStall(body); err == nil && len(s.Paths) > maxPaths {
			t.Errorf("%d paths were accepted", len(s.Paths))
		}
		if _, err := decodeAsk(body); err != nil {
			return
		}
		if _, err := decodeReport(body); err != nil {
			return
		}
	})
}
