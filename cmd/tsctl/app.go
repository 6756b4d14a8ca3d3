package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/hstore"
)

// Exit codes.
const (
	exitOK       = 0
	exitInternal = 1
	// exitInvalid reports an invalid command line, document or reference.
	exitInvalid = 2
	// exitConflict reports that another operator's write took effect first.
	exitConflict = 3
	// exitUnreachable reports a store or VM that does not answer.
	exitUnreachable = 4
	// exitUnsettled reports a write that may or may not have taken effect.
	exitUnsettled = 5
)

type (
	// options apply to every command.
	options struct {
		Store  []string `long:"store" env:"TSCTL_STORE" env-delim:"," value-name:"IP:PORT" description:"address of the platform's store; may be repeated"`
		Output string   `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
		Writer string   `long:"writer" env:"USER" default:"unknown" description:"name of the operator in the records"`
	}

	app struct {
		ctx     context.Context
		out     io.Writer
		options options
	}

	// failure is an error with its exit code and advice for the operator.
	failure struct {
		Code    int `json:"-"`
		Kind    string
		Message string
		// Next tells the operator what to do.
		Next string
	}
)

// Error returns the message.
func (f *failure) Error() string { return f.Message }

// report prints an error and returns its exit code.
func (a *app) report(w io.Writer, err error) int {
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{Code: exitInternal, Kind: "Internal", Message: err.Error()}
	}
	if a.options.Output == "json" {
		if err := printJSON(w, struct{ Error *failure }{f}); err != nil {
			slog.Error("the error could not be printed", "error", err, "message", f.Message)
		}
		return f.Code
	}
	_, _ = fmt.Fprintln(w, "tsctl:", f.Message)
	if f.Next != "" {
		_, _ = fmt.Fprintln(w, "next:", f.Next)
	}
	return f.Code
}

// store returns a client of the platform's store; there is no default address, so that no operator writes to the wrong store by accident.
func (a *app) store() (teaselstream.Store, error) {
	addresses := slices.DeleteFunc(slices.Clone(a.options.Store), func(s string) bool { return s == "" })
	if len(addresses) == 0 {
		return nil, invalid("the address of the store is missing", "set it with --store IP:PORT or in TSCTL_STORE")
	}
	return &hstore.Client{Addresses: addresses}, nil
}

// parsedDocument is a valid document with its canonical text.
type parsedDocument struct {
	*teaselstream.Document
	canonical []byte
}

// read reads and validates a document file.
func (a *app) read(file string) (parsedDocument, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return parsedDocument{}, invalid(err.Error(), "give the path of a readable document")
	}
	d, err := envdoc.Parse(file, data)
	if err != nil {
		return parsedDocument{}, invalid(err.Error(), "correct the lines above and run: tsctl check "+file)
	}
	canonical, err := envdoc.Canonical(data)
	if err != nil {
		return parsedDocument{}, invalid(err.Error(), "")
	}
	return parsedDocument{Document: d, canonical: canonical}, nil
}

func invalid(message, next string) *failure {
	return &failure{Code: exitInvalid, Kind: "InvalidInput", Message: message, Next: next}
}

// storeUnreachable returns the failure for an error of the store.
func storeUnreachable(err error) *failure {
	return &failure{
		Code: exitUnreachable, Kind: "StoreUnreachable",
		Message: "the store cannot be reached, and nothing was changed: " + err.Error(),
		Next:    "check --store, and repeat the command when the store is back; VMs keep the current generation meanwhile",
	}
}

// slot reads a slot from the store; its Generation is 0 if the slot is empty.
func (a *app) slot(key string) (envdoc.Slot, error) {
	store, err := a.store()
	if err != nil {
		return envdoc.Slot{}, err
	}
	r, err := store.Get(a.ctx, key)
	if errors.Is(err, teaselstream.ErrNotFound) {
		return envdoc.Slot{}, nil
	}
	if err != nil {
		return envdoc.Slot{}, storeUnreachable(err)
	}
	return envdoc.DecodeSlot(r.Value)
}

// body reads the canonical text of a stored document and verifies its digest.
func (a *app) body(env teaselstream.Environment, d teaselstream.Digest) ([]byte, error) {
	s, err := a.store()
	if err != nil {
		return nil, err
	}
	var parts [][]byte
	for n, total := 0, 1; n < total; n++ {
		r, err := s.Get(a.ctx, envdoc.PartKey(env, d, n))
		if errors.Is(err, teaselstream.ErrNotFound) {
			return nil, invalid(fmt.Sprintf("the document %s is not in the store", shortDigest(d)), "run: tsctl put FILE")
		}
		if err != nil {
			return nil, storeUnreachable(err)
		}
		if n == 0 {
			more, err := envdoc.FollowingParts(r.Value)
			if err != nil {
				return nil, err
			}
			total += more
		}
		parts = append(parts, r.Value)
	}
	canonical, err := envdoc.DecodeBody(parts)
	if err != nil {
		return nil, err
	}
	if got := envdoc.DigestOf(canonical); got != d {
		return nil, fmt.Errorf("the stored document %s has the digest %s", shortDigest(d), shortDigest(got))
	}
	return canonical, nil
}

// shortDigest abbreviates a digest for display.
func shortDigest(d teaselstream.Digest) string { return string(d[:min(12, len(d))]) }
