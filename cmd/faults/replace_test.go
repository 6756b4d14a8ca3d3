package main

import (
	"testing"
)

// Guards against an upgrade, or its reversal, in which VMs that are replaced one after the other cut answers, run calls twice, do not exit
// in order or do not serve afterwards, as TestSeeds describes; the other program is a second build of the same sources.
func TestVMsAreReplaced(t *testing.T) {
	dir := t.TempDir()
	gate, err := buildGate(dir)
	if err != nil {
		t.Fatal(err)
	}
	second, err := buildGate(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := gate.addOther(options{Other: second.own.file}); err != nil {
		t.Fatal(err)
	}
	for i, replace := range []string{replaceUp, replaceDown} {
		t.Run(replace, func(t *testing.T) {
			t.Parallel()
			// Two VMs keep the test short; each takes some seconds to finish its requests.
			violations, err := runSeed(uint64(i+1), options{VMs: 2, Replace: replace, Verbose: true}, dir, gate)
			if err != nil {
				t.Error(err)
			}
			for _, v := range violations {
				t.Error(v)
			}
		})
	}
}

// Guards against trials in which only one build runs, or in which the direction is the wrong one.
func TestDrawFirst(t *testing.T) {
	b := builds{own: build{name: "own"}, other: build{name: "other"}}
	const vms = 3
	for seed := range uint64(100) {
		for replace, want := range map[string][2]int{"": {vms, 0}, replaceUp: {0, vms}, replaceDown: {vms, 0}, replaceMixed: {1, 1}} {
			var n [2]int
			for _, x := range b.drawFirst(seed, replace, vms) {
				if x == b.other {
					n[1]++
				} else {
					n[0]++
				}
			}
			if n[0] < want[0] || n[1] < want[1] {
				t.Errorf("seed %d, %q: %d VMs of this build and %d of the other, want at least %d and %d", seed, replace, n[0], n[1], want[0], want[1])
			}
		}
	}
}
