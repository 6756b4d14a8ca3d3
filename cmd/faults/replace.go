package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// replaceAfter is the part of the time for faults that passes before the first VM is replaced.
	replaceAfter = 3
	// claimTimeout bounds the wait for a VM that another fault affects, which may be stopped several times in a row.
	claimTimeout = 3 * exitTimeout
	// vmReplaced is counted for each VM that was replaced.
	vmReplaced = "VM replaced"
)

// replaceVMs replaces all VMs, one after the other and in random order, each by the other build as soon as no other fault affects it.
// It records a violation if a VM does not exit in order, or if an answer is cut although nothing else is disturbed.
func (w *testRun) replaceVMs(seed uint64, o options) error {
	if o.Replace == "" {
		return nil
	}
	time.Sleep(o.Time / replaceAfter)
	before := w.callers.countCut()
	for _, n := range rand.New(rand.NewPCG(seed, replaceStream+1)).Perm(len(w.vms)) {
		v := w.vms[n]
		for limit := time.Now().Add(claimTimeout); !w.claim(v.name); time.Sleep(refusedWait) {
			if time.Now().After(limit) {
				return fmt.Errorf("other faults affect %s for longer than %s", v.name, claimTimeout)
			}
		}
		if err := w.replaceVM(v, o); err != nil {
			return err
		}
		w.release(v.name)
	}
	if cut := w.callers.countCut() - before; o.Time == 0 && cut > 0 {
		w.callers.recordViolation("%d answers were cut while VMs were replaced and nothing else was disturbed", cut)
	}
	return nil
}

// replaceVM stops a VM and starts it as the other build. It returns when the VM serves, or after recoveryTime under other faults.
func (w *testRun) replaceVM(v *vm, o options) error {
	from := v.current()
	to := w.builds.next(from)
	if o.Verbose {
		fmt.Printf("%s VM replaced: %s, %s build by %s\n", time.Now().UTC().Format("15:04:05.000"), v.name, from.name, to.name)
	}
	// Another fault may just have started it, and a process that has not set up its signals yet does not exit in order.
	if !w.serves(v, 1, time.Now().Add(recoveryTime)) && o.Verbose {
		fmt.Printf("%s does not serve before it is replaced\n", v.name)
	}
	v.signal(syscall.SIGTERM, true)
	if err := v.wait(); err != nil {
		return err
	}
	if err := v.replaceBy(to); err != nil {
		w.callers.recordViolation("%s (%s build) did not exit in order: %v", v.name, from.name, err)
	}
	if err := v.start(); err != nil {
		return err
	}
	// Whether it serves is checked after the last fault.
	if !w.serves(v, 1, time.Now().Add(recoveryTime)) && o.Verbose {
		fmt.Printf("%s does not serve yet\n", v.name)
	}
	w.callers.count(vmReplaced)
	return nil
}

// replaceBy sets the build that runs from the next start on, and returns how the process of the last one ended.
func (v *vm) replaceBy(b build) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.build = b
	return v.exit
}

// checkReplaced records a violation if a VM was not replaced, or does not run the program of its build.
func (w *testRun) checkReplaced(o options) {
	if o.Replace == "" {
		return
	}
	if n := w.callers.counts[vmReplaced]; n != len(w.vms) {
		w.callers.recordViolation("%d of %d VMs were replaced", n, len(w.vms))
	}
	for _, v := range w.vms {
		file, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", v.processID()))
		if err != nil || file != v.current().file {
			w.callers.recordViolation("%s runs %s, want the %s build (%v)", v.name, file, v.current().name, err)
		}
	}
}

// countCut returns the number of answers that were cut so far.
func (c *callers) countCut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for what, count := range c.counts {
		if strings.HasSuffix(what, " cut") {
			n += count
		}
	}
	return n
}
