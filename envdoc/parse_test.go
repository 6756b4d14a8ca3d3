package envdoc

import (
	"errors"
	"os"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against an example document that the parser rejects or reads incompletely.
func TestParseExample(t *testing.T) {
	data, err := os.ReadFile("../examples/three-domains.ini")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse("three-domains.ini", data)
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	if len(d.Servers) != 10 || len(d.Teams) != 2 || len(d.Links) != 3 || d.Models["large"].Layers != 32 {
		t.Errorf("document = %+v, want 10 servers, 2 teams, 3 links and a model of 32 layers", d)
	}
	canon, err := Canonical(data)
	if err != nil {
		t.Fatalf("Canonical: %v", err)
	}
	again, err := Parse("canonical", canon)
	if err != nil || again.Digest != d.Digest {
		t.Errorf("digest of the canonical text = %v (%v), want %v", again.Digest, err, d.Digest)
	}
}

// Guards against errors that are accepted, reported one at a time, or reported without line and accepted values.
func TestParseErrors(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		input := []byte(d.Input)
		switch d.Cmd {
		case "canonical":
			c, err := Canonical(input)
			if err != nil {
				return err.Error()
			}
			return string(c)
		default:
			_, err := Parse("env.ini", input)
			var errs ParseErrors
			if err == nil {
				return "ok"
			}
			if !errors.As(err, &errs) {
				t.Fatalf("error of type %T, want ParseErrors", err)
			}
			return errs.Error()
		}
	})
}
