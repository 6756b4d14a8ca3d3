package hengin

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/teaselstream/teaselstream"
)

const sampleEvent = `{"Request":"vm1-A-1","Attempt":1,"Sequence":7,"Index":6,"Text":" word\n","Receipts":[` +
	`{"Server":"a1","From":0,"To":16},{"Server":"b1","From":16,"To":32}]}`

// Guards against a fast path that decodes an event differently from encoding/json.
func FuzzTokenDecoder(f *testing.F) {
	for _, s := range []string{
		sampleEvent, `{}`, `{"Request":"a"}`, ` { "Text" : "\u00e9\ud83d\ude00" } `, `{"text":"lower case"}`, `{"Index":-1}`,
		`{"Index":1e3}`, `{"Index":01}`, `{"Attempt":4294967296}`, `{"Sequence":18446744073709551616}`, `{"Text":null}`,
		`{"Receipts":[{"Server":"a"},{"Server":"b"}],"Receipts":[{"From":1}]}`, `{"Receipts":[{"From":1,"From":2}]}`,
		`{"Text":"a","Text":"b"}`, `{"Extra":[1,{"a":"b"}],"Text":"x"}`, `{"Text":"\x"}`, `{"Text":"` + "\x01" + `"}`,
		`{"Text":"` + "\xff" + `"}`, `{"Text":"a"} x`, `{"Text":"a",}`, `[]`, `{"Receipts":[]}`, `{"Receipts":[{}]}`,
	} {
		f.Add(sampleEvent, s)
		f.Add(s, s)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		var d tokenDecoder
		for _, s := range []string{first, second} {
			var want teaselstream.TokenEvent
			wantErr := json.Unmarshal([]byte(s), &want)
			got, err := d.decode([]byte(s))
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("decode(%q) error = %v, encoding/json has %v", s, err, wantErr)
			}
			if err == nil && !equal(*got, want) {
				t.Fatalf("decode(%q) = %+v, want %+v", s, *got, want)
			}
		}
	})
}

// equal compares events; a missing list of receipts equals an empty one.
func equal(a, b teaselstream.TokenEvent) bool {
	if len(a.Receipts) == 0 && len(b.Receipts) == 0 {
		a.Receipts, b.Receipts = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// Guards against the text of a token that changes when later tokens are decoded.
func TestTokenTextIsKept(t *testing.T) {
	var d tokenDecoder
	var texts []string
	for range 2000 {
		e, err := d.decode([]byte(sampleEvent))
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, e.Text)
	}
	for i, s := range texts {
		if s != " word\n" {
			t.Fatalf("text of token %d = %q after later tokens", i, s)
		}
	}
}

// Guards against an allocation per token. The blocks for text need fewer than one per hundred tokens, which
// testing.AllocsPerRun rounds down to 0.
func TestTokenAllocations(t *testing.T) {
	var d tokenDecoder
	data := []byte(sampleEvent)
	if n := testing.AllocsPerRun(10000, func() { _, _ = d.decode(data) }); n != 0 {
		t.Errorf("allocations per token = %v, want 0", n)
	}
}

func BenchmarkTokenDecoder(b *testing.B) {
	var d tokenDecoder
	data := []byte(sampleEvent)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
