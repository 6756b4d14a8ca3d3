package procs

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

type (
	// Script runs steps on a fleet and records the results of its orders.
	Script struct {
		// Repeats overrides the count of every repeat step if it is not 0.
		Repeats int

		fleet *Fleet
		loads map[string]*load
		tasks map[string]chan string

		mu     sync.Mutex
		orders []orderReply
		// keyCreated holds the time at which each idempotency key was first used.
		keyCreated map[string]time.Time
	}

	// step is one parsed line of a script: a step name, plain arguments, and options of the form name=value.
	step struct {
		name    string
		args    []string
		options map[string]string
	}

	stepFunc func(*Script, step) (string, error)
)

// retryTimeout bounds the wait for a condition that never holds, so that a failed script ends.
const retryTimeout = 30 * time.Second

var stepFuncs map[string]stepFunc

func init() {
	stepFuncs = map[string]stepFunc{
		"start": (*Script).start, "kill": (*Script).kill, "term": (*Script).term, "freeze": (*Script).freeze, "thaw": (*Script).thaw,
		"promote": (*Script).promote, "race": (*Script).race, "generation": (*Script).generation,
		"cut": (*Script).cut, "heal": (*Script).heal, "fault": (*Script).fault, "list": (*Script).list,
		"server": (*Script).server, "idle": (*Script).idle, "alive": (*Script).alive, "sleep": (*Script).sleep,
		"stream": (*Script).stream, "order": (*Script).order, "read": (*Script).read, "wait": (*Script).wait,
		"load": (*Script).load, "stop": (*Script).stop, "ran": (*Script).ran, "repeat": (*Script).repeat,
	}
}

// NewScript returns a script for a fleet.
func NewScript(f *Fleet) *Script {
	return &Script{fleet: f, loads: map[string]*load{}, tasks: map[string]chan string{}, keyCreated: map[string]time.Time{}}
}

// Run runs a step and returns its result, which is the same in each run unless a check fails.
func (s *Script) Run(text string) string {
	l := parse(text)
	v, ok := stepFuncs[l.name]
	if !ok {
		return "unknown step"
	}
	out, err := v(s, l)
	if err != nil {
		return strings.TrimSpace(out + " FAILED: " + strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return out
}

func parse(text string) step {
	l := step{options: map[string]string{}}
	for i, w := range strings.Fields(text) {
		k, v, ok := strings.Cut(w, "=")
		switch {
		case i == 0:
			l.name = w
		case ok && !strings.HasPrefix(w, "{"):
			l.options[k] = v
		default:
			l.args = append(l.args, w)
		}
	}
	return l
}

// intOption returns a numeric option, or fallback if the step does not give it.
func (l step) intOption(name string, fallback int) int {
	n := fallback
	if v := l.options[name]; v != "" {
		_, _ = fmt.Sscanf(v, "%d", &n)
	}
	return n
}

func (l step) durationOption(name string) time.Duration {
	d, _ := time.ParseDuration(l.options[name])
	return d
}

// arg returns the n-th plain argument, or an empty string if there are fewer.
func (l step) arg(n int) string {
	if n < len(l.args) {
		return l.args[n]
	}
	return ""
}

// accept returns "accepted" for a result that begins with one of the comma-separated values of the step's accept option,
// so that the transcript is deterministic.
func (l step) accept(result string) string {
	for _, a := range strings.Split(l.options["accept"], ",") {
		if a != "" && strings.HasPrefix(result, a) {
			return "accepted"
		}
	}
	return result
}

// forEach applies f to all plain arguments and joins the errors.
func (l step) forEach(f func(string) error) error {
	var errs []error
	for _, w := range l.args {
		errs = append(errs, f(w))
	}
	return errors.Join(errs...)
}

// retry repeats f until it returns nil or retryTimeout has passed, and returns the last error.
func retry(f func() error) error {
	end := time.Now().Add(retryTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runTask runs f in the background if the step names a task, which a later wait step collects, and directly otherwise.
func (s *Script) runTask(l step, f func() string) string {
	name := l.options["task"]
	if name == "" {
		return l.accept(f())
	}
	c := make(chan string, 1)
	s.tasks[name] = c
	go func() { c <- l.accept(f()) }()
	return "started"
}

func (s *Script) wait(l step) (string, error) {
	c := s.tasks[l.arg(0)]
	if c == nil {
		return "", fmt.Errorf("no task %q", l.arg(0))
	}
	select {
	case r := <-c:
		return r, nil
	case <-time.After(hangTimeout):
		return "", fmt.Errorf("task %s has not ended", l.arg(0))
	}
}

func (s *Script) sleep(l step) (string, error) {
	d, err := time.ParseDuration(l.arg(0))
	time.Sleep(d)
	if err != nil {
		return "", fmt.Errorf("sleep: %w", err)
	}
	return "ok", nil
}

// repeat runs a sequence of steps separated by " / " several times and stops at the first step that fails. In the steps,
// VM stands for vm1 to vm3 in turn and ":" for "=".
func (s *Script) repeat(l step) (string, error) {
	times, succeeded := l.intOption("times", 1), 0
	if n := s.Repeats; n > 0 {
		times = n
	}
	steps := strings.Split(strings.Join(l.args, " "), " / ")
	for n := range times {
		for _, t := range steps {
			t = strings.ReplaceAll(t, "VM", fmt.Sprintf("vm%d", n%3+1))
			if r := s.Run(strings.ReplaceAll(t, ":", "=")); r != "ok" && r != "complete" {
				return fmt.Sprintf("%d of %d, then %q: %s", succeeded, times, t, r), nil
			}
		}
		succeeded++
	}
	return "all ok", nil
}
