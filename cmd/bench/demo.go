package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/bench/procs"
)

type (
	// demoCommand groups the callers of the demonstration.
	demoCommand struct {
		Stream streamCommand `command:"stream" description:"stream completions and compare them with the expected answers"`
		Order  orderCommand  `command:"order" description:"send an order to each VM in turn and check that it ran once"`
	}

	streamCommand struct {
		Address []string `long:"address" required:"true" description:"callers' address of a VM; may be repeated"`
		Key     []string `long:"key" required:"true" description:"team key; may be repeated, and callers use the keys in turn"`
		Model   string   `long:"model" default:"large" description:"model to ask"`
		Callers int      `long:"callers" default:"6" description:"number of callers at once"`
		Each    int      `long:"each" default:"1" description:"number of requests of each caller"`
		Tokens  int      `long:"tokens" default:"64" description:"length of each answer"`
		Label   string   `long:"label" default:"caller" description:"name of the callers in the output"`
	}
)

var errDemo = errors.New("not every caller got the expected answer")

// Execute runs all callers and prints one line for each.
func (c *streamCommand) Execute([]string) error {
	var wait sync.WaitGroup
	failed := make([]bool, c.Callers)
	for i := range c.Callers {
		wait.Go(func() { failed[i] = !c.caller(i) })
	}
	wait.Wait()
	for _, f := range failed {
		if f {
			return errDemo
		}
	}
	return nil
}

// caller sends its requests one after the other and reports whether each answer was as expected.
func (c *streamCommand) caller(n int) bool {
	who := fmt.Sprintf("%s %d", c.Label, n+1)
	var used []string
	start := time.Now()
	for i := range c.Each {
		address, err := procs.ReadyAddress(c.Address, n+i)
		if err != nil {
			fmt.Printf("%s: FAILED, %v\n", who, err)
			return false
		}
		prompt := fmt.Sprintf("%s asks question %d of the demonstration", who, i+1)
		caller := procs.Caller{Key: c.Key[n%len(c.Key)], Model: c.Model}
		if err := caller.Stream(address, prompt, c.Tokens); err != nil {
			fmt.Printf("%s: FAILED at request %d to %s: %v\n", who, i+1, address, err)
			return false
		}
		if len(used) == 0 || used[len(used)-1] != address {
			used = append(used, address)
		}
	}
	fmt.Printf("%s: %d complete answers of %d tokens, each as expected, from %s in %v\n",
		who, c.Each, c.Tokens, strings.Join(used, ", "), time.Since(start).Round(time.Millisecond))
	return true
}
