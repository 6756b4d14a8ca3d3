package envdoc

import (
	"fmt"
	"strings"
	"testing"
)

// largeDocument returns a document of the size that the router is designed for: 7,200 servers and 2,400 teams.
func largeDocument(changed string) []byte {
	var s strings.Builder
	s.WriteString("[Environment]\nName = demo\n[Limits]\nMaxTokens = " + changed + "\n")
	for i := range 12 {
		fmt.Fprintf(&s, "[Model m%d]\nLayers = 64\n", i)
	}
	for i := range 2400 {
		fmt.Fprintf(&s, "[Team t%d]\nKeyDigests = %s\nShare = 1\nModels = m1, m2\n", i, digestNamed(fmt.Sprint(i)))
	}
	for i := range 7200 {
		fmt.Fprintf(&s, "[Server s%d]\nKind = Model\nDomain = d%d\nRegion = r%d\nAddress = 10.0.%d.%d:8000\nModel = m%d\n"+
			"Accelerator = a%d\nAccelerators = 4\nLayers = %d-%d\nTimePerLayer = 60us\n",
			i, i%10, i%10%4, i/250, i%250, i%12, i%7, i/12%4*16, i/12%4*16+16)
	}
	// The key of the first server changes as well, so that the largest map is copied.
	c, err := Canonical([]byte(strings.Replace(s.String(), "Kind = Model", "Key = "+changed+"\nKind = Model", 1)))
	if err != nil {
		panic(err)
	}
	return c
}

// BenchmarkParse measures a full parse, as after the start of a VM.
func BenchmarkParse(b *testing.B) {
	data := largeDocument("1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("bench", data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChange measures the cost of one document change on a VM: applying the delta, the digest and the parse.
func BenchmarkChange(b *testing.B) {
	f := NewFormat()
	docs := [][]byte{largeDocument("1"), largeDocument("2")}
	var deltas [2][]byte
	for i := range docs {
		d, err := f.MakeDelta(docs[i], docs[1-i])
		if err != nil {
			b.Fatal(err)
		}
		deltas[i] = d
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i = 1 - i {
		next, err := f.Apply(docs[i], deltas[i])
		if err != nil || f.DigestOf(next) != DigestOf(docs[1-i]) {
			b.Fatal("delta does not apply", err)
		}
		if _, err := f.Parse(next); err != nil {
			b.Fatal(err)
		}
	}
}
