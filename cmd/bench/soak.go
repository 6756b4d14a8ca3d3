package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/teaselstream/teaselstream/cmd/bench/procs"
)

type (
	soakCommand struct {
		Seed uint64   `long:"seed" default:"1" description:"first seed, at least 1"`
		Runs int      `long:"runs" default:"1000" description:"number of runs of each kind"`
		Kind []string `long:"kind" description:"make this kind of runs only; may be repeated"`
	}

	// randomTest is a kind of randomised run, implemented as a rapid test in the given folder.
	randomTest struct{ name, folder, test string }

	// testBinary is a compiled test package.
	testBinary struct{ file, folder string }
)

var (
	randomTests = []randomTest{
		{"relay sessions", "relay", "TestRandomSessions"},
		{"order fleet", "order/fleet", "TestRunsRapid"},
		{"control runs", "runs", "TestRandomRuns"},
		{"promotion", "envdoc", "TestPromotionRaces"},
	}

	errViolation = errors.New("a run violated an invariant")
)

// Execute makes the runs and prints one line for each kind, followed by the shrunk trace of a failure.
func (c *soakCommand) Execute([]string) error {
	if c.Seed == 0 || c.Runs < 1 {
		return errors.New("invalid --seed or --runs; accepted: 1 and above")
	}
	return soak(os.Stdout, c.Seed, c.Runs, c.Kind)
}

func soak(w io.Writer, seed uint64, runs int, kinds []string) error {
	failed := false
	for _, x := range randomTests {
		if !selected(kinds, x.name) {
			continue
		}
		b, err := compileTest(x.folder)
		if err != nil {
			return err
		}
		out, ok, err := b.run(x.test, seed, runs)
		b.remove()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w, summary(x, seed, runs, out, ok))
		failed = failed || !ok
	}
	if failed {
		return errViolation
	}
	return nil
}

// summary describes the runs of a kind. After a failure, out holds what rapid printed: the number of runs, the seed of the
// failing run, and the violations and trace of the shrunk run.
func summary(x randomTest, seed uint64, runs int, out string, ok bool) string {
	if ok {
		return fmt.Sprintf("%s: %d runs from seed %d, violations: 0", x.name, runs, seed)
	}
	return fmt.Sprintf("%s: at most %d runs from seed %d, violations: 1\nrepeat with: tsbench soak --kind %q --seed %d --runs %d\n%s",
		x.name, runs, seed, x.name, seed, runs, out)
}

// compileTest compiles the tests of a folder of the repository.
func compileTest(folder string) (testBinary, error) {
	root, err := procs.WorkspaceRoot()
	if err != nil {
		return testBinary{}, err
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return testBinary{}, fmt.Errorf("make directory: %w", err)
	}
	b := testBinary{file: filepath.Join(dir, "runs.test"), folder: filepath.Join(root, folder)}
	c := exec.Command("go", "test", "-c", "-o", b.file, "./"+folder)
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		b.remove()
		return b, fmt.Errorf("compile %s: %w: %s", folder, err, out)
	}
	return b, nil
}

// run runs one rapid test and reports whether all its runs passed. It fails if the test does not exist or made no runs.
func (b testBinary) run(test string, seed uint64, runs int) (string, bool, error) {
	var out bytes.Buffer
	c := exec.Command(b.file, "-test.v", "-test.run=^"+strings.ReplaceAll(test, "/", "$/^")+"$", "-test.timeout=0",
		fmt.Sprintf("-rapid.seed=%d", seed), fmt.Sprintf("-rapid.checks=%d", runs), "-rapid.nofailfile")
	c.Dir, c.Stdout, c.Stderr = b.folder, &out, &out
	err := c.Run()
	if !strings.Contains(out.String(), "[rapid]") {
		return out.String(), false, fmt.Errorf("%s made no runs: %w", test, errors.Join(err, errors.New(out.String())))
	}
	return out.String(), err == nil, nil
}

func (b testBinary) remove() { _ = os.RemoveAll(filepath.Dir(b.file)) }
