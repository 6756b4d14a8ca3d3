package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream/launch"
)

const program = "faults"

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Runs    int           `long:"runs" default:"1" description:"number of runs, with consecutive seeds"`
	Time    time.Duration `long:"time" default:"20s" description:"how long faults are injected in each run"`
	VMs     int           `long:"vms" description:"number of VMs; 3 without it"`
	Verbose bool          `long:"verbose" description:"print each fault"`
	Other   string        `long:"other" description:"another build of cmd/gate that part of the VMs run"`
	// OtherSettings and Replace need Other.
	OtherSettings string   `long:"other-settings" description:"template of the settings of that build; that of this one without it"`
	Replace       string   `long:"replace" description:"replace the VMs one after the other in the middle of a run: up (the other build by this one), down (this one by the other) or mixed (each VM of one of the two by the other one)"`
	Phases        []string `long:"phase" description:"phase after the faults, silence, cut, hang, reset or refuse; may be repeated; silence and cut without it"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := launch.Parse(program, &o, args); done {
		return code
	}
	if o.Runs < 1 || o.Time <= 0 || o.VMs < 0 {
		return launch.PrintError(program, launch.ExitSettings, errors.New("invalid --runs, --time or --vms; accepted: above 0"))
	}
	if !slices.Contains([]string{"", replaceUp, replaceDown, replaceMixed}, o.Replace) {
		return launch.PrintError(program, launch.ExitSettings, errors.New("invalid --replace; accepted: up, down or mixed"))
	}
	if (o.Other == "") != (o.Replace == "") || o.Other == "" && o.OtherSettings != "" {
		return launch.PrintError(program, launch.ExitSettings, errors.New("--other and --replace need each other, and --other-settings needs both"))
	}
	if len(o.Phases) == 0 {
		o.Phases = []string{"silence", "cut"}
	}
	dir, err := os.MkdirTemp("", program)
	if err != nil {
		return launch.PrintError(program, launch.ExitFailure, err)
	}
	gate, err := buildGate(dir)
	if err == nil {
		err = gate.addOther(o)
	}
	if err != nil {
		return launch.PrintError(program, launch.ExitFailure, err)
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Runs); seed++ {
		violations, err := runSeed(seed, o, dir, gate)
		if err != nil || len(violations) > 0 {
			failed++
			fmt.Println("seed", seed, "failed:", errors.Join(err, joinTexts(violations)))
		}
	}
	fmt.Printf("%d of %d runs failed\n", failed, o.Runs)
	if failed > 0 {
		return launch.ExitFailure
	}
	if err := os.RemoveAll(dir); err != nil {
		return launch.PrintError(program, launch.ExitFailure, err)
	}
	return 0
}

func joinTexts(texts []string) error {
	var errs []error
	for _, t := range texts {
		errs = append(errs, errors.New(t))
	}
	return errors.Join(errs...)
}

// runSeed makes one run and returns the guarantees that did not hold.
func runSeed(seed uint64, o options, dir string, gate builds) (violations []string, err error) {
	directory := filepath.Join(dir, fmt.Sprintf("seed%d", seed))
	if err := os.Mkdir(directory, 0o700); err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	w, err := newTestRun(seed, directory, gate, o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, w.close(), w.keepLogs(err != nil || len(violations) > 0)) }()
	for _, v := range w.vms {
		if !w.serves(v, 1, time.Now().Add(startTimeout)) {
			return []string{fmt.Sprintf("%s serves nothing after the start; %d ends by itself; its log ends with:\n%s", v.name, v.unexpectedExits(), v.lastLines())}, nil
		}
	}
	r := rand.New(rand.NewPCG(seed, seed))
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, v := range w.vms {
		for range callersPerVM {
			own := rand.New(rand.NewPCG(seed, r.Uint64()))
			wait.Go(func() { w.callers.run(v, own, stop) })
		}
	}
	err = w.injectFaults(seed, r, o)
	deadline := time.Now().Add(recoveryTime)
	w.checkServing()
	w.checkKeys()
	w.checkRegistered(deadline)
	err = errors.Join(err, w.runPhases(seed, o))
	close(stop)
	wait.Wait()
	w.checkEnd(o)
	fmt.Printf("seed %d: %v\n", seed, w.callers.counts)
	return w.callers.violations, err
}

// checkServing records a violation if a VM does not serve again within recoveryTime.
func (w *testRun) checkServing() {
	deadline := time.Now().Add(recoveryTime)
	var checks sync.WaitGroup
	for _, v := range w.vms {
		checks.Go(func() {
			if !w.serves(v, requiredStreams, deadline) {
				w.callers.recordViolation("%s did not serve %d consecutive streams within %s after the last fault", v.name, requiredStreams, recoveryTime)
			}
		})
	}
	checks.Wait()
}

// injectFaults injects overlapping faults for the time of the run and waits until all have ended. If VMs are replaced, they are so
// meanwhile, and faults go on until that has ended; without time for faults, nothing else happens.
func (w *testRun) injectFaults(seed uint64, r *rand.Rand, o options) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	var replacing atomic.Bool
	replacing.Store(o.Replace != "")
	wait.Go(func() {
		defer replacing.Store(false)
		if err := w.replaceVMs(seed, o); err != nil {
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, fmt.Errorf("replace VMs: %w", err))
		}
	})
	for end := time.Now().Add(o.Time); o.Time > 0 && (replacing.Load() || time.Now().Before(end)); time.Sleep(randomDuration(r, minGap, maxGap)) {
		f := faults[r.IntN(len(faults))]
		lasts := randomDuration(r, minFaultTime, maxFaultTime)
		what, finish := f.begin(w, r)
		if finish == nil {
			continue
		}
		if o.Verbose {
			fmt.Printf("%s %s: %s for %s\n", time.Now().UTC().Format("15:04:05.000"), f.name, what, lasts.Round(time.Millisecond))
		}
		wait.Go(func() {
			time.Sleep(lasts)
			if err := finish(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("%s %s: %w", f.name, what, err))
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// checkEnd makes the checks that are possible only at the end of a run.
func (w *testRun) checkEnd(o options) {
	w.checkReplaced(o)
	w.callers.checkOrders()
	w.callers.checkLeaving(w.started)
	w.callers.checkWaits(w.started)
	for _, f := range w.fleet.CallerErrors() {
		w.callers.recordViolation("replicas observed: %s", f)
	}
	for _, v := range w.vms {
		if n := v.unexpectedExits(); n > 0 {
			w.callers.recordViolation("%s exited unexpectedly %d times", v.name, n)
		}
	}
}
