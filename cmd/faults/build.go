package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
)

const (
	// replaceUp and replaceDown replace all VMs by this build and by the other one.
	replaceUp   = "up"
	replaceDown = "down"
	// replaceMixed replaces each VM of either build by the other build, so that both run side by side all the time.
	replaceMixed = "mixed"
	// replaceStream separates the random numbers of replacements from those of the faults, so that they change no plan.
	replaceStream = 3 << 32
)

type (
	// build is a program of the VMs with the template of its settings.
	build struct{ name, file, template string }

	// builds holds the program of this source tree and, in runs that replace VMs, another one.
	builds struct{ own, other build }
)

// buildGate builds the program of the VMs, which all runs share.
func buildGate(dir string) (builds, error) {
	workspace, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return builds{}, fmt.Errorf("find Go workspace: %w", err)
	}
	root := filepath.Dir(string(workspace))
	file := filepath.Join(dir, "gate")
	c := exec.Command("go", "build", "-o", file, "./cmd/gate")
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		return builds{}, fmt.Errorf("build gate: %w: %s", err, out)
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "gate.ini"))
	if err != nil {
		return builds{}, fmt.Errorf("read template of settings: %w", err)
	}
	return builds{own: build{"own", file, string(template)}}, nil
}

// addOther adds the other build that the options name, if they do.
func (b *builds) addOther(o options) error {
	if o.Other == "" {
		return nil
	}
	file, err := filepath.Abs(o.Other)
	if err == nil {
		file, err = filepath.EvalSymlinks(file)
	}
	if err != nil {
		return fmt.Errorf("find the other build: %w", err)
	}
	b.other = build{"other", file, b.own.template}
	if o.OtherSettings == "" {
		return nil
	}
	template, err := os.ReadFile(o.OtherSettings)
	if err != nil {
		return fmt.Errorf("read template of settings of the other build: %w", err)
	}
	b.other.template = string(template)
	return nil
}

// drawFirst returns the build with which each VM of a run starts. In mixed runs of two VMs or more, both builds occur.
func (b builds) drawFirst(seed uint64, replace string, vms int) []build {
	r := rand.New(rand.NewPCG(seed, replaceStream))
	first := make([]build, vms)
	for i, n := range r.Perm(vms) {
		switch {
		case replace == replaceUp, replace == replaceMixed && (i == 1 || i > 1 && r.IntN(2) == 0):
			first[n] = b.other
		default:
			first[n] = b.own
		}
	}
	return first
}

// next returns the build that replaces another one.
func (b builds) next(x build) build {
	if x == b.own {
		return b.other
	}
	return b.own
}
