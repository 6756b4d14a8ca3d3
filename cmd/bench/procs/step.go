package procs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream"
)

// vmStatus is the part of a VM's status report that the steps check.
type vmStatus struct {
	Generation teaselstream.Generation
	LiveVMs    int
	Servers    []struct {
		Name  string
		State string
	}
}

// start starts processes and waits until each answers with status 200.
func (s *Script) start(l step) (string, error) {
	names := l.args
	if slices.Equal(names, []string{"all"}) {
		names = append([]string{"store", "list", "orders"}, engines...)
	}
	for _, n := range names {
		if err := s.fleet.Start(n); err != nil {
			return "", err
		}
		if n == "list" {
			if err := retry(func() error { return checkStatus(s.fleet.direct("list"), "/v1/vms") }); err != nil {
				return "", err
			}
		}
	}
	for _, n := range names {
		address, path := s.fleet.direct(n), "/v1/load"
		switch {
		case n == "store":
			path = "/v1/stats"
		case n == "list":
			path = "/v1/vms"
		case n == "orders":
			address = s.fleet.direct("s1")
		case strings.HasPrefix(n, "vm"):
			address, path = s.fleet.callerAddr(n), "/readyz"
		}
		if err := retry(func() error { return checkStatus(address, path) }); err != nil {
			return "", fmt.Errorf("%s: %w", n, err)
		}
	}
	return "ok", nil
}

func checkStatus(address, path string) error {
	status, _, err := get(address, path)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s returned status %d", path, status)
	}
	return err
}

func (s *Script) process(name string) (*process, error) {
	p := s.fleet.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

func (s *Script) signalAll(l step, x syscall.Signal) (string, error) {
	return "ok", l.forEach(func(n string) error {
		p, err := s.process(n)
		if err != nil {
			return err
		}
		return p.signal(x)
	})
}

func (s *Script) freeze(l step) (string, error) { return s.signalAll(l, syscall.SIGSTOP) }

func (s *Script) thaw(l step) (string, error) { return s.signalAll(l, syscall.SIGCONT) }

// kill ends processes with SIGKILL.
func (s *Script) kill(l step) (string, error) {
	return "ok", l.forEach(func(n string) error {
		p, err := s.process(n)
		if err != nil {
			return err
		}
		_, err = p.signalAndWait(syscall.SIGKILL)
		return err
	})
}

// term stops processes with SIGTERM; each must exit with code 0.
func (s *Script) term(l step) (string, error) {
	return "ok", l.forEach(func(n string) error {
		p, err := s.process(n)
		if err != nil {
			return err
		}
		code, err := p.signalAndWait(syscall.SIGTERM)
		if err == nil && code != 0 {
			err = fmt.Errorf("%s exited with code %d; last log line: %s", n, code, s.lastLog(n))
		}
		return err
	})
}

// lastLog returns the last line of a process's log.
func (s *Script) lastLog(name string) string {
	data, _ := os.ReadFile(s.fleet.file(name + ".log"))
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(lines[len(lines)-1])
}

// tsctl runs the operators' command and requires exit code 0.
func (s *Script) tsctl(args ...string) error {
	if code, out := s.fleet.programs.run("tsctl", append([]string{"--store", s.fleet.direct("store")}, args...)...); code != 0 {
		return fmt.Errorf("tsctl %s exited with code %d: %s", args[0], code, out)
	}
	return nil
}

// promote stores version N of the document, starts a trial of it and promotes it to generation N.
func (s *Script) promote(l step) (string, error) {
	n := l.intOption("version", 1)
	file, err := s.fleet.document(n)
	if err != nil {
		return "", err
	}
	for _, args := range [][]string{{"put", file}, {"try", file}, {"promote", "--replaces", fmt.Sprint(n - 1), file}} {
		if err := s.tsctl(args...); err != nil {
			return "", err
		}
	}
	return "ok", nil
}

// race lets two operators promote version N concurrently and returns their sorted exit codes.
func (s *Script) race(l step) (string, error) {
	n := l.intOption("version", 1)
	file, err := s.fleet.document(n)
	if err == nil {
		err = errors.Join(s.tsctl("put", file), s.tsctl("try", file))
	}
	if err != nil {
		return "", err
	}
	codes := make([]int, 2)
	var wait sync.WaitGroup
	for i := range codes {
		wait.Go(func() {
			codes[i], _ = s.fleet.programs.run("tsctl", "--store", s.fleet.direct("store"), "--writer", fmt.Sprintf("operator%d", i), "promote", "--replaces", fmt.Sprint(n-1), file)
		})
	}
	wait.Wait()
	slices.Sort(codes)
	return fmt.Sprint(codes), nil
}

func (s *Script) status(vm string) (vmStatus, error) {
	var st vmStatus
	q, err := http.NewRequest(http.MethodGet, "http://"+s.fleet.operatorAddr(vm)+"/operator/status", nil)
	if err != nil {
		return st, fmt.Errorf("make request: %w", err)
	}
	q.Header.Set("Authorization", "Bearer procs-key")
	resp, err := client.Do(q)
	if err != nil {
		return st, fmt.Errorf("status of %s: %w", vm, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return st, fmt.Errorf("status of %s: %w", vm, err)
	}
	return st, nil
}

// generation waits until all named VMs have generation N of the document.
func (s *Script) generation(l step) (string, error) {
	want := teaselstream.Generation(l.intOption("is", 1))
	return "ok", l.forEach(func(vm string) error {
		return retry(func() error {
			st, err := s.status(vm)
			if err == nil && st.Generation != want {
				err = fmt.Errorf("%s has generation %d", vm, st.Generation)
			}
			return err
		})
	})
}

// server waits until all named VMs report a server in a given state.
func (s *Script) server(l step) (string, error) {
	name, state := l.options["name"], l.options["state"]
	return "ok", l.forEach(func(vm string) error {
		return retry(func() error {
			st, err := s.status(vm)
			if err != nil {
				return err
			}
			for _, v := range st.Servers {
				if v.Name == name && v.State == state {
					return nil
				}
			}
			return fmt.Errorf("%s does not report %s as %s: %v", vm, name, state, st.Servers)
		})
	})
}

// idle waits until an engine has no requests, and requires that it gets none for the given time.
func (s *Script) idle(l step) (string, error) {
	running := func() (int, error) {
		var load struct{ Running, Waiting int }
		_, body, err := get(s.fleet.direct(l.arg(0)), "/v1/load")
		if err == nil {
			err = json.Unmarshal(body, &load)
		}
		return load.Running + load.Waiting, err
	}
	err := retry(func() error {
		n, err := running()
		if err == nil && n > 0 {
			err = fmt.Errorf("%s still runs %d requests", l.arg(0), n)
		}
		return err
	})
	for end := time.Now().Add(l.durationOption("for")); err == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var n int
		if n, err = running(); err == nil && n > 0 {
			err = fmt.Errorf("%s got %d new requests", l.arg(0), n)
		}
	}
	return "ok", err
}

// alive requires that at least the given number of the named processes run; the default is all.
func (s *Script) alive(l step) (string, error) {
	n := 0
	for _, w := range l.args {
		if p := s.fleet.processes[w]; p != nil && p.running() {
			n++
		}
	}
	if least := l.intOption("least", len(l.args)); n < least {
		return "", fmt.Errorf("%d of %d processes run, want at least %d", n, len(l.args), least)
	}
	return "ok", nil
}

func (s *Script) cut(l step) (string, error) {
	s.fleet.network.cut(cut{l.arg(0), l.arg(1)})
	return "ok", nil
}

func (s *Script) heal(step) (string, error) {
	s.fleet.network.heal()
	return "ok", nil
}

// fault sets the fault switches of simulators to a JSON argument; without one it clears all faults.
func (s *Script) fault(l step) (string, error) {
	v := json.RawMessage("{}")
	if n := len(l.args) - 1; n > 0 && l.args[n][0] == '{' {
		v, l.args = json.RawMessage(l.args[n]), l.args[:n]
	}
	return "ok", l.forEach(func(n string) error { return s.fleet.post(n, "/v1/faults", v) })
}

// list sets the state of machines in the platform's list; the state "Absent" removes them.
func (s *Script) list(l step) (string, error) {
	return "ok", l.forEach(func(n string) error { return s.fleet.SetListState(n, l.options["state"]) })
}
