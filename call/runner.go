package call

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/wire"
)

const (
	// busyTick is the period of ticks while calls are open; idleTick applies otherwise.
	busyTick = 5 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// storeTimeout bounds a call to the store; package order reads the record after a timeout to see whether a write took
	// effect.
	storeTimeout = 2 * time.Second
)

type (
	// runner runs the state machine of package order on one goroutine and carries out its commands.
	runner struct {
		h   *Handler
		log *order.Log

		// mu guards inbox, waiting and serial.
		mu           sync.Mutex
		inbox        []teaselstream.Msg
		waiting      map[teaselstream.RequestID]chan order.Reply
		serial       uint64
		busy         atomic.Bool
		wake         chan struct{}
		lastSnapshot *teaselstream.Snapshot
		stop         context.CancelFunc
		done         chan struct{}
		work         sync.WaitGroup
	}
)

func newRunner(h *Handler) *runner {
	ctx, stop := context.WithCancel(context.Background())
	o := h.options
	s := &runner{
		h: h, wake: make(chan struct{}, 1), stop: stop, done: make(chan struct{}),
		waiting: make(map[teaselstream.RequestID]chan order.Reply),
		log: order.New(order.Config{
			VM: o.VM, Incarnation: o.Incarnation, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Invariants: o.Invariants, Faults: o.Faults,
		}),
	}
	go s.loop(ctx)
	return s
}

// post queues a message for the state machine.
func (s *runner) post(m teaselstream.Msg) {
	s.mu.Lock()
	s.inbox = append(s.inbox, m)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loop applies messages and ticks until the context is canceled.
func (s *runner) loop(ctx context.Context) {
	defer close(s.done)
	t := time.NewTimer(idleTick)
	defer t.Stop()
	due := time.Now()
	s.updateView()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-t.C:
		}
		if now := time.Now(); !now.Before(due) {
			due = now.Add(busyTick)
			s.updateView()
			s.update(teaselstream.Tick{})
		}
		for _, m := range s.takeInbox() {
			s.update(m)
		}
		busy := s.log.Busy()
		s.busy.Store(busy)
		if busy {
			t.Reset(time.Until(due))
		} else {
			t.Reset(idleTick)
		}
	}
}

func (s *runner) takeInbox() []teaselstream.Msg {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.inbox
	s.inbox = nil
	return ms
}

// update applies one message and carries out the commands that follow from it.
func (s *runner) update(m teaselstream.Msg) {
	for _, c := range s.log.Update(time.Now(), m) {
		s.execute(c)
	}
}

// updateView passes the live VMs and the retention time to the state machine when the snapshot has changed.
func (s *runner) updateView() {
	x := s.h.options.Snapshot()
	if x == nil || x == s.lastSnapshot {
		return
	}
	s.lastSnapshot = x
	v := order.View{Live: []teaselstream.VMID{s.h.options.VM}}
	for _, p := range x.Peers {
		if p.Alive && p.VM != s.h.options.VM {
			v.Live = append(v.Live, p.VM)
			if p.Leaving {
				v.Leaving = append(v.Leaving, p.VM)
			}
		}
	}
	if x.Stopping {
		v.Leaving = append(v.Leaving, s.h.options.VM)
	}
	if x.Document != nil {
		v.Retention = x.Document.Limits.OrderRetention
	}
	s.update(v)
}

// execute carries out one command without blocking the state machine.
func (s *runner) execute(c teaselstream.Cmd) {
	switch c := c.(type) {
	case order.Reply:
		s.reply(c)
	case order.Read:
		s.background(func() teaselstream.Msg { return s.read(c) })
	case order.Write:
		s.background(func() teaselstream.Msg { return s.write(c) })
	case order.Send:
		s.background(func() teaselstream.Msg { return s.send(c) })
	case order.LookUp:
		s.background(func() teaselstream.Msg { return s.lookUp(c) })
	case order.Forward:
		if err := s.sendPeer(c.To, wire.OrderForward{Payload: payload(c.Call.Request, c.Call)}); err != nil {
			slog.Debug("order not forwarded", "to", c.To, "error", err)
			s.post(order.ForwardFailed{ID: c.Call.ID})
		}
	case order.AnswerForward:
		s.answerForward(c)
	}
}

// background runs f on a goroutine of its own and posts its result.
func (s *runner) background(f func() teaselstream.Msg) {
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.post(f())
	}()
}

func (s *runner) read(c order.Read) teaselstream.Msg {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r, err := s.h.options.Store.Get(ctx, c.Key)
	return order.StoreResult{ID: c.ID, Record: r, Err: err}
}

func (s *runner) write(c order.Write) teaselstream.Msg {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	n, err := s.h.options.Store.CompareAndSwap(ctx, c.Key, c.Expected, c.Value, 0)
	return order.StoreResult{ID: c.ID, Record: teaselstream.Record{Revision: n}, Err: err}
}

// submit passes a call to the state machine and waits for its reply.
func (s *runner) submit(ctx context.Context, m order.Submit) (teaselstream.ServiceAnswer, error) {
	ch := make(chan order.Reply, 1)
	s.mu.Lock()
	s.serial++
	// Request identifiers of callers may repeat, so each call gets one of its own.
	m.Request = teaselstream.RequestID(fmt.Sprintf("%s/%d", s.h.options.VM, s.serial))
	s.waiting[m.Request] = ch
	s.mu.Unlock()
	s.post(m)
	select {
	case r := <-ch:
		if r.Err != nil {
			return teaselstream.ServiceAnswer{}, r.Err
		}
		return r.Answer, nil
	case <-s.done:
		return teaselstream.ServiceAnswer{}, &teaselstream.Error{Code: teaselstream.CodeStopping, Message: "the VM has stopped"}
	case <-ctx.Done():
		return teaselstream.ServiceAnswer{}, &teaselstream.Error{Code: teaselstream.CodeCanceled, Message: "the caller went away"}
	}
}

func (s *runner) reply(r order.Reply) {
	s.mu.Lock()
	ch := s.waiting[r.Request]
	delete(s.waiting, r.Request)
	s.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// openOrders returns the number of waiting callers and queued messages, or 1 if only writes of records are unfinished.
func (s *runner) openOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.waiting) + len(s.inbox)
	if n == 0 && s.busy.Load() {
		n = 1
	}
	return n
}
