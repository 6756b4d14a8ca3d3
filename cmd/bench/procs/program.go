package procs

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

type (
	// Programs locates the built programs.
	Programs struct{ Directory string }

	// process is a program that the fleet started. It is signalled only by its process id.
	process struct {
		name     string
		command  *exec.Cmd
		log      *os.File
		ended    chan struct{}
		exitCode int
	}
)

// hangTimeout ends a run that hangs; no check depends on its value.
const hangTimeout = 40 * time.Second

var buildOnce = sync.OnceValues(func() (Programs, error) {
	dir, err := os.MkdirTemp("", "procs-bin")
	if err != nil {
		return Programs{}, fmt.Errorf("make directory: %w", err)
	}
	root, err := WorkspaceRoot()
	if err != nil {
		return Programs{}, err
	}
	for _, p := range []string{"entry", "stand", "tsctl"} {
		c := exec.Command("go", "build", "-o", filepath.Join(dir, p), "./cmd/"+p)
		c.Dir = root
		if out, err := c.CombinedOutput(); err != nil {
			return Programs{}, fmt.Errorf("build %s: %w: %s", p, err, out)
		}
	}
	return Programs{Directory: dir}, nil
})

// WorkspaceRoot returns the directory of the Go workspace that contains the working directory.
func WorkspaceRoot() (string, error) {
	file, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", fmt.Errorf("find Go workspace: %w", err)
	}
	return filepath.Dir(strings.TrimSpace(string(file))), nil
}

// Build builds the programs on the first call; later calls return the same programs.
func Build() (Programs, error) { return buildOnce() }

// Remove deletes the built programs.
func (p Programs) Remove() {
	if p.Directory != "" {
		if err := os.RemoveAll(p.Directory); err != nil {
			slog.Warn("DirectoryNotRemoved", "directory", p.Directory, "error", err)
		}
	}
}

func (p Programs) start(dir, name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	x := &process{name: name, command: exec.Command(filepath.Join(p.Directory, program), args...), log: log, ended: make(chan struct{})}
	x.command.Stdout, x.command.Stderr = log, log
	if err := x.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		if err := x.command.Wait(); err != nil {
			// An error is expected here: scripts end processes by signals.
			slog.Debug("ProcessEnded", "name", x.name, "error", err)
		}
		x.exitCode = x.command.ProcessState.ExitCode()
		sock.Discard(x.log)
		close(x.ended)
	}()
	return x, nil
}

// run runs a program to its end and returns its exit code and output.
func (p Programs) run(program string, args ...string) (int, string) {
	var out bytes.Buffer
	c := exec.Command(filepath.Join(p.Directory, program), args...)
	c.Stdout, c.Stderr = &out, &out
	if err := c.Run(); err != nil {
		// The caller checks the exit code.
		slog.Debug("ProgramFailed", "program", program, "error", err)
	}
	return c.ProcessState.ExitCode(), out.String()
}

func (x *process) signal(s syscall.Signal) error {
	if err := x.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", x.name, err)
	}
	return nil
}

// signalAndWait sends a signal, waits for the process to end and returns its exit code, which is -1 if the signal
// killed it.
func (x *process) signalAndWait(s syscall.Signal) (int, error) {
	if err := x.signal(s); err != nil {
		return 0, err
	}
	select {
	case <-x.ended:
		return x.exitCode, nil
	case <-time.After(hangTimeout):
		return 0, fmt.Errorf("%s has not ended %v after signal %v", x.name, hangTimeout, s)
	}
}

func (x *process) running() bool {
	select {
	case <-x.ended:
		return false
	default:
		return true
	}
}
