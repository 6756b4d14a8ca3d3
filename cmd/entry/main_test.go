package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tsentry": func() { os.Exit(run(os.Args[1:])) }})
}

// Guards against settings errors without file and line or with a wrong exit code, and against a graceful stop that does not exit with 0.
func TestScripts(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
