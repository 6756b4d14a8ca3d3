//go:build review

package rig

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// childFlag makes a case's program run one replica instead of the case.
const childFlag = "replica"

// Child is a replica that runs as a process of its own.
type Child struct {
	ID string

	platform *Platform
	command  *exec.Cmd
	ended    chan struct{}
}

// RunChild runs a replica if the program was started for that; it does not return then. The arguments are those of StartChild.
func RunChild() {
	if len(os.Args) < 2 || os.Args[1] != childFlag {
		return
	}
	a := os.Args[2:]
	pause, err := time.ParseDuration(a[4])
	if err != nil {
		fmt.Println("bad pause:", err)
		os.Exit(2)
	}
	o := ReplicaOptions{ID: a[0], Zone: a[1], Service: a[2], Store: a[3], Pause: pause, Unframed: a[5] == "unframed", Log: func(line string) { fmt.Println(line) }}
	if _, err := NewReplica(o); err != nil {
		fmt.Println("replica not started:", err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	os.Exit(0)
}

// StartChild starts a replica as a process of its own. Its lines go to the record.
func (p *Platform) StartChild(o ReplicaOptions) (*Child, error) {
	framing := "chunked"
	if o.Unframed {
		framing = "unframed"
	}
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	c := &Child{ID: o.ID, platform: p, ended: make(chan struct{})}
	c.command = exec.Command(program, childFlag, o.ID, o.Zone, o.Service, p.StoreAddress, o.Pause.String(), framing)
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("read lines of %s: %w", o.ID, err)
	}
	if err := c.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", o.ID, err)
	}
	go func() {
		defer close(c.ended)
		for s := bufio.NewScanner(out); s.Scan(); {
			p.Record.Add("%s", strings.TrimSpace(s.Text()))
		}
		// The way in which the process ends does not matter here.
		_ = c.command.Wait()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.children = append(p.children, c)
	return c, nil
}

// Kill kills the process. The store removes the entry after three heartbeats without one.
func (c *Child) Kill() {
	_ = c.command.Process.Kill()
	<-c.ended
	time.AfterFunc(lapseTime, func() { c.platform.Store.Remove("servers/" + c.ID) })
}

// AddReplica starts a replica in this process. Its lines go to the record.
func (p *Platform) AddReplica(o ReplicaOptions) (*Replica, error) {
	o.Store = p.StoreAddress
	o.Log = func(line string) { p.Record.Add("%s", line) }
	r, err := NewReplica(o)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = append(p.replicas, r)
	return r, nil
}

// Lapse removes the entry of a replica that has crashed after three heartbeats.
func (p *Platform) Lapse(r *Replica) {
	time.AfterFunc(lapseTime, func() { p.Store.Remove("servers/" + r.ID) })
}
