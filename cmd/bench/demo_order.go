package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/teaselstream/teaselstream/cmd/bench/procs"
)

// orderDeadline is the time for which an order may wait for the store.
const orderDeadline = 3 * time.Second

type orderCommand struct {
	Address []string `long:"address" required:"true" description:"callers' address of a VM; may be repeated, and the order goes to each in turn"`
	Key     string   `long:"key" required:"true" description:"team key"`
	Service string   `long:"service" default:"orders" description:"plain service to call"`
	Stats   string   `long:"stats" required:"true" description:"address of a replica, which reports how often the order ran"`
	Name    string   `long:"name" required:"true" description:"Idempotency-Key of the order"`
	Refused bool     `long:"refused" description:"expect that the order is refused and did not run"`
}

// Execute sends the same order to each VM and checks that all answers are equal and that the order ran once.
func (c *orderCommand) Execute([]string) error {
	if c.Refused {
		return c.expectRefusal()
	}
	var first string
	ok := true
	created := time.Now()
	for i, a := range c.Address {
		status, body, err := c.send(a, created)
		switch {
		case err != nil:
			fmt.Printf("order %s: FAILED at %s: %v\n", c.Name, a, err)
			ok = false
			continue
		case i == 0:
			first = body
			fmt.Printf("order %s: sent to %s, status %d, answer %s\n", c.Name, a, status, body)
		default:
			fmt.Printf("order %s: sent again to %s, status %d, same answer: %v\n", c.Name, a, status, body == first)
		}
		ok = ok && status == http.StatusCreated && body == first
	}
	counts, err := procs.OrderCounts(c.Stats)
	if err != nil {
		return err
	}
	n := counts[c.Name]
	fmt.Printf("order %s: ran %d time(s) at the service\n", c.Name, n)
	if !ok || n != 1 {
		return errDemo
	}
	return nil
}

// expectRefusal sends the order once and requires a refusal with the outcome NotRun, and that the order did not run.
func (c *orderCommand) expectRefusal() error {
	status, _, err := c.send(c.Address[0], time.Now())
	var refused *procs.Refusal
	if !errors.As(err, &refused) {
		fmt.Printf("order %s: FAILED, not refused: status %d, %v\n", c.Name, status, err)
		return errDemo
	}
	counts, err := procs.OrderCounts(c.Stats)
	if err != nil {
		return err
	}
	fmt.Printf("order %s: refused with %s, %s; ran %d time(s) at the service\n", c.Name, refused.Code, refused.Outcome, counts[c.Name])
	if refused.Outcome != "NotRun" || counts[c.Name] != 0 {
		return errDemo
	}
	return nil
}

func (c *orderCommand) send(address string, created time.Time) (int, string, error) {
	return procs.Caller{Key: c.Key}.Call(address, procs.Call{
		Method: http.MethodPost, Service: c.Service, Path: "/orders", Body: `{"Item":"a"}`, IdempotencyKey: c.Name, Created: created, Deadline: orderDeadline,
	})
}
