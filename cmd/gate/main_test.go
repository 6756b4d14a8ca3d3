package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"gate": func() { os.Exit(run(os.Args[1:])) }})
}

// Guards against settings errors that lack a position or the accepted form, and against wrong exit codes.
func TestScripts(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
