package runs

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/spread"
)

// Format is a document format with one server per line, "NAME DOMAIN MODEL FROM-TO", followed by
// "fencing" if the engine checks fencing numbers; it is cheap to parse in the many documents of random runs.
type Format struct{}

var _ spread.Format = Format{}

// DigestOf returns the digest of a document.
func (Format) DigestOf(b []byte) teaselstream.Digest { return envdoc.DigestOf(b) }

// Parse returns the document.
func (Format) Parse(b []byte) (*teaselstream.Document, error) {
	d := &teaselstream.Document{
		Models:  map[teaselstream.ModelID]teaselstream.Model{},
		Servers: map[teaselstream.ServerID]teaselstream.Server{},
	}
	for i, l := range lines(b) {
		f := strings.Fields(l)
		if len(f) < 4 || len(f) > 5 {
			return nil, fmt.Errorf("line %d has %d fields", i+1, len(f))
		}
		v := teaselstream.Server{
			Name: teaselstream.ServerID(f[0]), Kind: teaselstream.KindModel, Domain: teaselstream.DomainID(f[1]),
			Address: f[0], Model: teaselstream.ModelID(f[2]), Memory: 1 << 40, ChecksFencing: len(f) == 5,
		}
		from, to, _ := strings.Cut(f[3], "-")
		a, err := strconv.Atoi(from)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		b, err := strconv.Atoi(to)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		v.Layers = teaselstream.LayerRange{From: teaselstream.Layer(a), To: teaselstream.Layer(b)}
		d.Servers[v.Name] = v
		m := d.Models[v.Model]
		m.Name, m.Layers = v.Model, max(m.Layers, v.Layers.To)
		m.BytesPerLayer = 1 << 20
		d.Models[v.Model] = m
	}
	return d, nil
}

// MakeDelta returns the removed lines with the prefix - and the added ones with the prefix +.
func (Format) MakeDelta(from, to []byte) ([]byte, error) {
	old, now := lines(from), lines(to)
	var b bytes.Buffer
	for _, l := range old {
		if _, ok := slices.BinarySearch(now, l); !ok {
			b.WriteString("-" + l + "\n")
		}
	}
	for _, l := range now {
		if _, ok := slices.BinarySearch(old, l); !ok {
			b.WriteString("+" + l + "\n")
		}
	}
	return b.Bytes(), nil
}

// Apply returns the document from, changed by a delta.
func (Format) Apply(from, delta []byte) ([]byte, error) {
	all := lines(from)
	for _, l := range lines(delta) {
		if l[0] == '+' {
			all = append(all, l[1:])
			continue
		}
		all = slices.DeleteFunc(all, func(x string) bool { return x == l[1:] })
	}
	return Canonical(all), nil
}

// Encode returns the document in two parts, so that runs cover the transfer of several parts.
func (Format) Encode(b []byte) ([][]byte, error) {
	return [][]byte{b[:len(b)/2], b[len(b)/2:]}, nil
}

// Decode joins the parts of a document.
func (Format) Decode(parts [][]byte) ([]byte, error) { return bytes.Join(parts, nil), nil }

// Canonical returns the document that consists of the given lines, sorted.
func Canonical(ls []string) []byte {
	s := slices.Sorted(slices.Values(ls))
	return []byte(strings.Join(s, "\n") + "\n")
}

func lines(b []byte) []string {
	s := strings.TrimSuffix(string(b), "\n")
	if s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}
