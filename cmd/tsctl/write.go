package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
)

type (
	putCommand struct {
		app  *app
		Args fileArgs `positional-args:"true"`
	}

	tryCommand struct {
		app  *app
		Args fileArgs `positional-args:"true"`
	}

	promoteCommand struct {
		app      *app
		Replaces *uint64  `long:"replaces" value-name:"GENERATION" description:"refuse unless this generation is in production"`
		Args     fileArgs `positional-args:"true"`
	}

	writeResult struct {
		Environment teaselstream.Environment
		Digest      teaselstream.Digest
		Slot        *envdoc.Slot `json:",omitempty"`
		// Current is set if a later operation has already replaced the slot.
		Current *envdoc.Slot `json:",omitempty"`
	}
)

// Execute checks and stores a document, and reads it back to verify it.
func (c *putCommand) Execute([]string) error {
	d, err := c.app.read(string(c.Args.File))
	if err != nil {
		return err
	}
	parts, err := envdoc.EncodeBody(d.canonical)
	if err != nil {
		return err
	}
	if _, err := c.app.write(d, envdoc.Put{Digest: d.Digest, Parts: parts}); err != nil {
		return err
	}
	if _, err := c.app.body(d.Environment, d.Digest); err != nil {
		return err
	}
	err = c.app.print(writeResult{Environment: d.Environment, Digest: d.Digest}, table{
		head: []string{"ENVIRONMENT", "DIGEST", "STATE"},
		rows: [][]string{{string(d.Environment), shortDigest(d.Digest), "stored"}},
	})
	c.app.printNext("tsctl try %s", c.Args.File)
	return err
}

// Execute puts a stored document into trial.
func (c *tryCommand) Execute([]string) error {
	d, err := c.app.read(string(c.Args.File))
	if err != nil {
		return err
	}
	r, err := c.app.write(d, envdoc.Try{Digest: d.Digest})
	if err != nil {
		return err
	}
	prod, err := c.app.slot(envdoc.ProdKey(d.Environment))
	if err != nil {
		return err
	}
	err = c.app.printWriteResult(d, "trial", r)
	c.app.printNext("tsctl diff -e %s, tsctl status -e %s, then: tsctl promote --replaces %d %s",
		d.Environment, d.Environment, prod.Generation, c.Args.File)
	return err
}

// Execute promotes the document in trial.
func (c *promoteCommand) Execute([]string) error {
	d, err := c.app.read(string(c.Args.File))
	if err != nil {
		return err
	}
	r, err := c.app.write(d, envdoc.Promote{Digest: d.Digest, Replaces: (*teaselstream.Generation)(c.Replaces)})
	if err != nil {
		return err
	}
	err = c.app.printWriteResult(d, "production", r)
	if r.Current.Generation > r.Slot.Generation {
		c.app.printNext("generation %d by %s has replaced yours; tsctl history -e %s", r.Current.Generation, r.Current.Writer, d.Environment)
		return err
	}
	c.app.printNext("tsctl status -e %s --vm IP:PORT shows when VMs have generation %d", d.Environment, r.Slot.Generation)
	return err
}

func (a *app) printWriteResult(d parsedDocument, slot string, r envdoc.Result) error {
	w := writeResult{Environment: d.Environment, Digest: d.Digest, Slot: &r.Slot}
	t := table{head: slotHead, rows: [][]string{slotRow(slot, r.Slot)}}
	if r.Current.Generation > r.Slot.Generation {
		w.Current = &r.Current
		t.rows = append(t.rows, slotRow("now", r.Current))
	}
	return a.print(w, t)
}

// write runs a put, try or promote operation against the store.
func (a *app) write(d parsedDocument, m teaselstream.Msg) (envdoc.Result, error) {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	p := envdoc.NewPromotion(envdoc.PromotionConfig{
		Environment: d.Environment, Writer: a.options.Writer, Operation: hex.EncodeToString(id),
	})
	store, err := a.store()
	if err != nil {
		return envdoc.Result{}, err
	}
	for {
		if err := a.ctx.Err(); err != nil {
			return envdoc.Result{}, fmt.Errorf("interrupted by the operator; tsctl status -e %s shows what took effect: %w", d.Environment, err)
		}
		cmds := p.Update(time.Now(), m)
		if len(cmds) != 1 {
			return envdoc.Result{}, fmt.Errorf("the promotion returned %d commands for %T", len(cmds), m)
		}
		switch c := cmds[0].(type) {
		case envdoc.Read:
			r, err := store.Get(a.ctx, c.Key)
			m = envdoc.ReadDone{Record: r, Err: err}
		case envdoc.Write:
			rev, err := store.CompareAndSwap(a.ctx, c.Key, c.Expected, c.Value, 0)
			m = envdoc.WriteDone{Revision: rev, Err: err}
		case envdoc.Wait:
			select {
			case <-time.After(c.Duration):
			case <-a.ctx.Done():
			}
			m = teaselstream.Tick{}
		case envdoc.Finish:
			return c.Result, a.resultError(d, c.Result)
		}
	}
}

// resultError returns the failure for a result, or nil if the operation succeeded.
func (a *app) resultError(d parsedDocument, r envdoc.Result) error {
	env, now := d.Environment, r.Current
	switch r.Outcome {
	case envdoc.Done:
		return nil
	case envdoc.Lost:
		return &failure{exitConflict, "Conflict", fmt.Sprintf(
			"generation %d of %s by %s (%s) took effect first; your operation changed nothing", now.Generation, env, now.Writer, shortDigest(now.Digest)),
			fmt.Sprintf("review it with: tsctl diff FILE; then edit, put, try and promote --replaces %d again", now.Generation)}
	case envdoc.NotInTrial:
		what := "no document is in trial"
		if now.Generation > 0 {
			what = fmt.Sprintf("the document %s by %s is in trial", shortDigest(now.Digest), now.Writer)
		}
		return &failure{exitConflict, "NotInTrial", fmt.Sprintf(
			"%s in %s, not yours (%s); nothing was changed", what, env, shortDigest(d.Digest)), "put your document into trial with: tsctl try FILE"}
	case envdoc.NotStored:
		return invalid(fmt.Sprintf("the document %s is not in the store", shortDigest(d.Digest)), "run: tsctl put FILE")
	case envdoc.StoreDown:
		return storeUnreachable(r.Cause)
	case envdoc.Unsettled:
		return &failure{exitUnsettled, "Unsettled", fmt.Sprintf(
			"the store's answer was lost, and the outcome could not be read afterwards (%v); operation %s may or may not have taken effect", r.Cause, r.Slot.Operation),
			fmt.Sprintf("when the store is available again, look for the operation in: tsctl history -e %s", env)}
	default:
		return fmt.Errorf("%s: %w", r.Outcome, r.Cause)
	}
}
