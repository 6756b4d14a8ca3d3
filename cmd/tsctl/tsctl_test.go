package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/teaselstream/teaselstream/cmd/stand/kvsim"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tsctl": func() { os.Exit(run(os.Args[1:])) }})
}

// Guards against wrong exit codes, messages without advice, and writes that take effect twice or overwrite another operator's.
//
// Each script has its own store at $TSCTL_STORE and a VM at $VM. The command
// "exits CODE PROGRAM..." checks the exit code, and "faults JSON" configures
// the faults that the store injects.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			store := httptest.NewServer(kvsim.NewHandler())
			vm := httptest.NewServer(http.HandlerFunc(serveStatus))
			e.Defer(store.Close)
			e.Defer(vm.Close)
			e.Setenv("STORE", store.URL)
			e.Setenv("TSCTL_STORE", store.Listener.Addr().String())
			e.Setenv("VM", vm.Listener.Addr().String())
			e.Setenv("USER", "ann")
			// By default the race detector delays the exit of each process by 1 s.
			e.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "faults": faults},
	})
}

func serveStatus(w http.ResponseWriter, r *http.Request) {
	answers := map[string]string{
		"/operator/status": `{"VM":"vm1","Generation":7,"Peers":["vm2"]}`,
		"/operator/trial": `{"Generation":3,"Digest":"` + strings.Repeat("5", digestHexLength) + `","InTrial":true,"Counts":{"Evaluated":50,"AdmittedByBoth":40,
			"RefusedByBoth":2,"RefusedByTrialOnly":{"UnknownModel":5},"RefusedByProductionOnly":{"TooLarge":3},"ChangedRoutes":4,
			"FirstTokenBefore":800000000,"FirstTokenAfter":400000000,"ChangedPriority":6,"ChangedWorth":7,"ChangedIdempotency":1,"Dropped":1}}`,
	}
	a, ok := answers[r.URL.Path]
	if !ok || r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	_, _ = w.Write([]byte(a))
}

func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGUMENT...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var failed *exec.ExitError
	got := 0
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failed) {
		got = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

func faults(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(ts.Getenv("STORE")+"/v1/faults", "application/json", strings.NewReader(strings.Join(args, " ")))
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("faults: %s", resp.Status)
	}
}
