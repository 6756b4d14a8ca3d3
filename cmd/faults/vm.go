package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

// endTime bounds the end of a VM after a signal; its grace time is 8 s.
const endTime = 12 * time.Second

// logTail is how much of a VM's log a failure at the start shows.
const logTail = 2000

// vm is one gate process, its link to the store and its addresses, which outlive restarts.
type vm struct {
	name      string
	directory string
	program   string
	callers   string
	store     *link

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected says that the next end was asked for by a signal.
	expected bool
	// unasked counts ends without a signal.
	unasked int
}

// freeAddress returns a loopback address that nothing listens on. It is not 127.0.0.1, whose ports outgoing connections
// take between this look and the VM's listening. Processes that run beside this one have other addresses.
func freeAddress() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 128+pid>>8&63, pid&255))
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return l.Addr().String(), l.Close()
}

// lastLines returns the end of the VM's log.
func (v *vm) lastLines() string {
	text, err := os.ReadFile(v.file("log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTail):])
}

func newVM(name, directory, program string, store *link) (*vm, error) {
	var addresses [3]string
	for i := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	v := &vm{name: name, directory: directory, program: program, callers: addresses[0], store: store}
	text := fmt.Sprintf("[VM]\nName = %s\nDomain = zone-a\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\n[Store]\nAddresses = %s\n[Bounds]\nRetrySlack = 600\n",
		name, addresses[0], addresses[1], addresses[2], store.address())
	if err := os.WriteFile(v.file("ini"), []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return v, v.start()
}

func (v *vm) file(kind string) string { return filepath.Join(v.directory, v.name+"."+kind) }

func (v *vm) start() error {
	log, err := os.OpenFile(v.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(v.program, "--config", v.file("ini"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.command, v.ended, v.expected = c, make(chan struct{}), false
	ended := v.ended
	go func() {
		if err := c.Wait(); err != nil {
			slog.Debug("ProcessEnded", "vm", v.name, "error", err)
		}
		sock.Discard(log)
		v.mu.Lock()
		if !v.expected {
			v.unasked++
		}
		v.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process by its id; a process that has ended already is left alone.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expected = v.expected || ends
	if err := v.command.Process.Signal(s); err != nil {
		fmt.Printf("%s: signal %v not sent: %v\n", v.name, s, err)
	}
}

// unaskedEnds counts the ends of the process that no signal of ours caused.
func (v *vm) unaskedEnds() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unasked
}

// wait waits until a process that was told to end has ended, and kills it if it does not.
func (v *vm) wait() error {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-time.After(endTime):
		v.signal(syscall.SIGKILL, true)
		<-ended
		return fmt.Errorf("%s has not ended %s after its signal", v.name, endTime)
	}
}
