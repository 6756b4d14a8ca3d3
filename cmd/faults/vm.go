package main

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
	"github.com/teaselstream/teaselstream/sock"
)

// exitTimeout bounds the time until a VM exits after a signal; its own grace time is 8 s.
const exitTimeout = 12 * time.Second

// retrySlack is the number of retries that all VMs of a run may make beside those in proportion to the requests.
const retrySlack = 600

// logTailBytes is how much of a VM's log is shown if the VM does not serve after its start.
const logTailBytes = 2000

// vm is one gate process with its link to the store and its addresses, which stay the same across restarts.
type vm struct {
	name      string
	domain    string
	directory string
	callers   string
	store     *link
	settings  plat.ProcessSettings

	mu sync.Mutex
	// build is what the next process runs, and exit how the last one ended.
	build   build
	exit    error
	command *exec.Cmd
	ended   chan struct{}
	// exitExpected is set if a signal was sent that ends the current process.
	exitExpected bool
	// unexpected counts exits without such a signal.
	unexpected int
	// disturbedAt holds when the process was started, and when signals were sent that end, pause or wake it.
	disturbedAt []time.Time
}

// vmAddresses is the number of addresses on which a VM listens.
const vmAddresses = 4

// lastLines returns the last logTailBytes of the VM's log.
func (v *vm) lastLines() string {
	text, err := os.ReadFile(v.file("log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// newVM starts a VM of a build that listens on the given vmAddresses addresses.
func newVM(name, domain, directory string, b build, addresses []string, store *link) (*vm, error) {
	v := &vm{name: name, domain: domain, directory: directory, build: b, callers: addresses[0], store: store}
	v.settings = plat.ProcessSettings{
		Name: name, Domain: domain, Callers: addresses[0], Ready: addresses[1], Store: store.address(), RetrySlack: retrySlack,
	}
	for _, a := range addresses[2:] {
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("parse address of %s: %w", name, err)
		}
		v.settings.Ports = append(v.settings.Ports, int(p.Port()))
	}
	return v, v.start()
}

func (v *vm) file(kind string) string { return filepath.Join(v.directory, v.name+"."+kind) }

// start starts a process of the VM's build with the settings of that build.
func (v *vm) start() error {
	b := v.current()
	text, err := v.settings.Fill(b.template)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.file("ini"), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(v.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(b.file, "--config", v.file("ini"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.command, v.ended, v.exitExpected = c, make(chan struct{}), false
	v.disturbedAt = append(v.disturbedAt, time.Now())
	ended := v.ended
	go func() {
		err := c.Wait()
		if err != nil {
			slog.Debug("ProcessEnded", "vm", v.name, "error", err)
		}
		sock.Discard(log)
		v.mu.Lock()
		v.exit = err
		if !v.exitExpected {
			v.unexpected++
		}
		v.mu.Unlock()
		close(ended)
	}()
	return nil
}

// current returns the build of the VM.
func (v *vm) current() build {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.build
}

// signal sends a signal to the process by its id, and only prints a message if that fails, as for a process that has
// ended. With exits, the process is expected to end.
func (v *vm) signal(s syscall.Signal, exits bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.exitExpected = v.exitExpected || exits
	if s != syscall.SIGHUP {
		v.disturbedAt = append(v.disturbedAt, time.Now())
	}
	if err := v.command.Process.Signal(s); err != nil {
		fmt.Printf("%s: signal %v not sent: %v\n", v.name, s, err)
	}
}

// undisturbed reports whether the process was neither started, ended, paused nor woken between two times.
func (v *vm) undisturbed(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !slices.ContainsFunc(v.disturbedAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// processID returns the id of the VM's process.
func (v *vm) processID() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command.Process.Pid
}

// unexpectedExits returns the number of times that the process ended without a signal from this program.
func (v *vm) unexpectedExits() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unexpected
}

// wait waits until a signalled process has ended. After exitTimeout it kills the process and returns an error.
func (v *vm) wait() error {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-time.After(exitTimeout):
		v.signal(syscall.SIGKILL, true)
		<-ended
		return fmt.Errorf("%s has not exited %s after its signal", v.name, exitTimeout)
	}
}
