package envdoc

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// Guards against missed differences and against secrets in the output.
func TestDiff(t *testing.T) {
	datadriven.RunTest(t, "testdata/diff", func(t *testing.T, d *datadriven.TestData) string {
		from, to, ok := strings.Cut(d.Input, "\n=>\n")
		if !ok {
			t.Fatal("the input has no line with =>")
		}
		a, err1 := Canonical([]byte(from))
		b, err2 := Canonical([]byte(to))
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		var out strings.Builder
		for _, c := range Diff(a, b) {
			out.WriteString(c.String() + "\n")
		}
		return out.String()
	})
}

// Guards against a delta that does not reproduce the document that it was made from.
func TestDeltaRoundTrip(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) []byte {
		var b strings.Builder
		b.WriteString("[Environment]\nName = demo\n")
		for i := range 6 {
			if v := rapid.IntRange(0, 3).Draw(t, "value"); v > 0 {
				fmt.Fprintf(&b, "[Server s%d]\nMemory = %dGB\n", i, v)
			}
		}
		c, err := Canonical([]byte(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw.Draw(t, "from"), draw.Draw(t, "to")
		f := Format{}
		d, err := f.MakeDelta(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := f.Apply(from, d)
		if err != nil || !bytes.Equal(got, to) {
			t.Fatalf("Apply = %q (%v), want %q", got, err, to)
		}
		if same := len(Diff(from, to)) == 0; same != bytes.Equal(from, to) {
			t.Fatalf("Diff finds no difference: %v, want %v", same, !same)
		}
	})
}

// Guards against an incremental parse that returns a different document or different errors than a full parse.
func TestIncrementalParse(t *testing.T) {
	example, err := os.ReadFile("../examples/three-domains.ini")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(example), "\n")
	rapid.Check(t, func(t *rapid.T) {
		var c IncrementalParser
		for range 4 {
			edited := slices.Clone(lines)
			for range rapid.IntRange(0, 2).Draw(t, "edits") {
				i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
				edited[i] = rapid.SampledFrom([]string{
					"", "[Limits]", "[Server x]", "[Link zone-a zone-a]", "Layers = 0-32", "Rate = 1GB/s", "Share = 2", "Region = south", "Key = k",
				}).Draw(t, "text")
			}
			text := []byte(strings.Join(edited, "\n"))
			if canon, err := Canonical(text); err == nil && rapid.IntRange(0, 9).Draw(t, "canonical") > 0 {
				text = canon
			}
			want, wantErr := Parse("f", text)
			got, gotErr := c.Parse("f", text)
			if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotErr, wantErr) {
				t.Fatalf("IncrementalParser.Parse = %+v (%v), want %+v (%v)", got, gotErr, want, wantErr)
			}
		}
	})
}

// Guards against deltas that are applied to a document that they do not match.
func TestDeltaMismatch(t *testing.T) {
	for _, d := range []Delta{
		{Removed: []string{"Server absent"}},
		{Changed: []string{"no section"}},
		{Changed: []string{"[Server a]\n\n[Server b]\n"}},
	} {
		if got, err := Apply([]byte("[Environment]\nName = demo\n"), d); err == nil {
			t.Errorf("Apply(%+v) = %q, want an error", d, got)
		}
	}
}

// Guards against a body that does not survive encoding, and against parts above the store's limit of 1 MB.
func TestBodyRoundTrip(t *testing.T) {
	// Random bytes do not compress, so this body needs three parts.
	random := make([]byte, 2_000_000)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range random {
		random[i] = byte(r.Uint32())
	}
	for _, body := range [][]byte{nil, []byte("[Environment]\nName = demo\n"), random} {
		parts, err := EncodeBody(body)
		if err != nil {
			t.Fatal(err)
		}
		n, err := FollowingParts(parts[0])
		if err != nil || n != len(parts)-1 {
			t.Errorf("FollowingParts = %d, %v; want %d", n, err, len(parts)-1)
		}
		for i, p := range parts {
			if len(p) > 1<<20 {
				t.Errorf("part %d has %d bytes, above the store's limit", i, len(p))
			}
		}
		got, err := DecodeBody(parts)
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("DecodeBody gives %d bytes (%v), want the %d bytes encoded", len(got), err, len(body))
		}
		if _, err := DecodeBody(parts[:len(parts)-1]); err == nil {
			t.Error("DecodeBody accepts a body without its last part")
		}
	}
}

// Guards against parser panics, and against a canonical text that parses to a different document.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../examples/three-domains.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("[Environment]\nName = demo\n[Limits]\nMaxTokens = 1\n"))
	f.Add([]byte("\ufeff[Environment]\r\nName=demo\r\n[Link a a]\nRate = 1B/s\nLatency=1ns\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("fuzz", data)
		canon, errCanon := Canonical(data)
		if err != nil {
			return
		}
		if errCanon != nil {
			t.Fatalf("Canonical rejects what Parse accepts: %v", errCanon)
		}
		again, err := Parse("canonical", canon)
		if err != nil || again.Digest != d.Digest {
			t.Fatalf("canonical text parses with %v", err)
		}
		if parts := split(canon); len(Diff(nil, canon)) < len(parts) {
			t.Fatalf("the canonical text has %d sections in %q", len(parts), canon)
		}
		if got, err := Apply(nil, MakeDelta(nil, canon)); err != nil || !bytes.Equal(got, canon) {
			t.Fatalf("delta from the empty document gives %q (%v), want %q", got, err, canon)
		}
	})
}
