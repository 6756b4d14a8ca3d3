package procs

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// orderReply is the result that one caller of an order received.
	orderReply struct {
		key string
		// result is "ran", "cut", an outcome with a code, or "wrong" with an error.
		result string
		answer string
	}

	// load is a group of callers that send requests until the load is stopped.
	load struct {
		done      chan struct{}
		wait      sync.WaitGroup
		mu        sync.Mutex
		succeeded int
		failed    map[string]int
		// samples holds one error for each key of failed.
		samples map[string]error
	}
)

// outcome classifies the result of a request as "complete", "cut", "wrong" with an error, or the outcome and code of a refusal.
func outcome(err error) string {
	var r *Refusal
	switch {
	case err == nil:
		return "complete"
	case errors.As(err, &r):
		return r.Outcome + "/" + string(r.Code)
	case errors.Is(err, ErrInterrupted):
		return "cut"
	default:
		return "wrong: " + err.Error()
	}
}

func (s *Script) caller() Caller { return Caller{Key: "alpha-key", Model: "large"} }

func (s *Script) addresses(vms []string) []string {
	var out []string
	for _, v := range vms {
		out = append(out, s.fleet.callerAddr(v))
	}
	return out
}

var prompts atomic.Int64

// stream sends streamed requests to all named VMs concurrently, with unique prompts unless the step gives one.
func (s *Script) stream(l step) (string, error) {
	tokens := l.intOption("tokens", 32)
	return s.runTask(l, func() string {
		results := make([]string, len(l.args)*l.intOption("callers", 1))
		var wait sync.WaitGroup
		for i := range results {
			wait.Go(func() {
				prompt := l.options["prompt"]
				if prompt == "" {
					prompt = fmt.Sprintf("stream %d", prompts.Add(1))
				}
				results[i] = outcome(s.caller().Stream(s.fleet.callerAddr(l.args[i%len(l.args)]), prompt, tokens))
			})
		}
		wait.Wait()
		slices.Sort(results)
		return strings.Join(slices.Compact(results), ", ")
	}), nil
}

// order sends an order with a given key to a VM.
func (s *Script) order(l step) (string, error) {
	key, vm := l.arg(0), l.arg(1)
	return s.runTask(l, func() string {
		result, _ := s.send(key, s.fleet.callerAddr(vm), l.durationOption("deadline"))
		return result
	}), nil
}

// send sends an order and records its result. All sends of a key carry the creation time of the first.
func (s *Script) send(key, address string, deadline time.Duration) (string, error) {
	s.mu.Lock()
	if s.keyCreated[key].IsZero() {
		s.keyCreated[key] = time.Now()
	}
	created := s.keyCreated[key]
	s.mu.Unlock()
	q := Call{
		Method: http.MethodPost, Service: "orders", Path: "/orders", Body: `{"Item":"` + key + `"}`,
		IdempotencyKey: key, Created: created, Deadline: deadline,
	}
	status, answer, err := s.caller().Call(address, q)
	if err == nil && status != http.StatusCreated {
		err = fmt.Errorf("%w: status %d", ErrWrongAnswer, status)
	}
	t := orderReply{key: key, result: outcome(err), answer: answer}
	if err == nil {
		t.result = "ran"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, t)
	return t.result, err
}

// read sends an idempotent service call to each VM in turn.
func (s *Script) read(l step) (string, error) {
	var results []string
	for _, vm := range l.args {
		_, _, err := s.caller().Call(s.fleet.callerAddr(vm), Call{Method: http.MethodGet, Service: "orders", Path: "/items/7"})
		results = append(results, outcome(err))
	}
	slices.Sort(results)
	return strings.Join(slices.Compact(results), ", "), nil
}

// load starts callers of streams, reads and orders, which choose among ready VMs as a balancer does.
func (s *Script) load(l step) (string, error) {
	n := &load{done: make(chan struct{}), failed: map[string]int{}, samples: map[string]error{}}
	s.loads[l.arg(0)] = n
	at := s.addresses(l.args[1:])
	tokens := l.intOption("tokens", 32)
	for i := range l.intOption("streams", 0) {
		n.run(at, i, func(address string, _ int) error {
			return s.caller().Stream(address, fmt.Sprintf("load %d", prompts.Add(1)), tokens)
		})
	}
	for i := range l.intOption("reads", 0) {
		n.run(at, i, func(address string, _ int) error {
			_, _, err := s.caller().Call(address, Call{Method: http.MethodGet, Service: "orders", Path: "/items/7"})
			return err
		})
	}
	for i := range l.intOption("orders", 0) {
		n.run(at, i, func(address string, k int) error {
			_, err := s.send(fmt.Sprintf("%s-%d-%d", l.arg(0), i, k), address, l.durationOption("deadline"))
			return err
		})
	}
	return "ok", nil
}

// run starts a caller that repeats a request until the load is stopped. It skips VMs that are not ready and records
// every result, including interrupted requests.
func (n *load) run(addresses []string, first int, request func(address string, k int) error) {
	n.wait.Go(func() {
		for k := first; ; k++ {
			select {
			case <-n.done:
				return
			default:
			}
			address, err := ReadyAddress(addresses, k)
			if err != nil {
				n.record(err)
				time.Sleep(10 * time.Millisecond)
				continue
			}
			n.record(request(address, k))
		}
	})
}

func (n *load) record(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.succeeded++
		return
	}
	n.failed[outcome(err)]++
	n.samples[outcome(err)] = err
}

// stop ends a load and fails if a request ended in a way that the step does not accept, or if none succeeded.
func (s *Script) stop(l step) (string, error) {
	n := s.loads[l.arg(0)]
	if n == nil {
		return "", fmt.Errorf("no load %q", l.arg(0))
	}
	close(n.done)
	n.wait.Wait()
	for r, k := range n.failed {
		if l.accept(r) != "accepted" {
			return "", fmt.Errorf("%d requests ended as %q, %d succeeded; one of the errors: %w", k, r, n.succeeded, n.samples[r])
		}
	}
	if n.succeeded == 0 {
		return "", errors.New("no request of the load succeeded")
	}
	return "ok", nil
}
