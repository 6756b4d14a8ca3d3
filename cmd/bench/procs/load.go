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
	// told is what the caller of an order was told.
	told struct {
		key string
		// result is "ran", "cut", or an outcome with a code.
		result string
		answer string
	}

	// load is a set of callers that go on until they are stopped.
	load struct {
		end    chan struct{}
		wait   sync.WaitGroup
		mu     sync.Mutex
		good   int
		failed map[string]int
		// sample holds one error of each kind.
		sample map[string]error
	}
)

// outcome sorts the end of a request into "complete", "cut", "wrong", "refused" or an outcome with its code.
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
		out = append(out, s.fleet.callers(v))
	}
	return out
}

var prompts atomic.Int64

// stream sends one streamed request to each VM at once, or one with a given prompt.
func (s *Script) stream(l line) (string, error) {
	tokens := l.number("tokens", 32)
	return s.background(l, func() string {
		results := make([]string, len(l.words)*l.number("callers", 1))
		var wait sync.WaitGroup
		for i := range results {
			wait.Go(func() {
				prompt := l.options["prompt"]
				if prompt == "" {
					prompt = fmt.Sprintf("stream %d", prompts.Add(1))
				}
				results[i] = outcome(s.caller().Stream(s.fleet.callers(l.words[i%len(l.words)]), prompt, tokens))
			})
		}
		wait.Wait()
		slices.Sort(results)
		return strings.Join(slices.Compact(results), ", ")
	}), nil
}

// order sends an order to a VM.
func (s *Script) order(l line) (string, error) {
	key, vm := l.word(0), l.word(1)
	return s.background(l, func() string {
		result, _ := s.send(key, s.fleet.callers(vm), l.duration("deadline"))
		return result
	}), nil
}

// send sends an order and remembers what its caller was told.
func (s *Script) send(key, address string, deadline time.Duration) (string, error) {
	s.mu.Lock()
	if s.made[key].IsZero() {
		s.made[key] = time.Now()
	}
	created := s.made[key]
	s.mu.Unlock()
	q := Call{
		Method: http.MethodPost, Service: "orders", Path: "/orders", Body: `{"Item":"` + key + `"}`,
		IdempotencyKey: key, Created: created, Deadline: deadline,
	}
	status, answer, err := s.caller().Call(address, q)
	if err == nil && status != http.StatusCreated {
		err = fmt.Errorf("%w: status %d", ErrWrongAnswer, status)
	}
	t := told{key: key, result: outcome(err), answer: answer}
	if err == nil {
		t.result = "ran"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, t)
	return t.result, err
}

// read sends an idempotent call to each VM.
func (s *Script) read(l line) (string, error) {
	var results []string
	for _, vm := range l.words {
		_, _, err := s.caller().Call(s.fleet.callers(vm), Call{Method: http.MethodGet, Service: "orders", Path: "/items/7"})
		results = append(results, outcome(err))
	}
	slices.Sort(results)
	return strings.Join(slices.Compact(results), ", "), nil
}

// load starts callers of streams and of orders that choose among VMs as a balancer does.
func (s *Script) load(l line) (string, error) {
	n := &load{end: make(chan struct{}), failed: map[string]int{}, sample: map[string]error{}}
	s.loads[l.word(0)] = n
	at := s.addresses(l.words[1:])
	tokens := l.number("tokens", 32)
	for i := range l.number("streams", 0) {
		n.run(at, i, func(address string, _ int) error {
			return s.caller().Stream(address, fmt.Sprintf("load %d", prompts.Add(1)), tokens)
		})
	}
	for i := range l.number("reads", 0) {
		n.run(at, i, func(address string, _ int) error {
			_, _, err := s.caller().Call(address, Call{Method: http.MethodGet, Service: "orders", Path: "/items/7"})
			return err
		})
	}
	for i := range l.number("orders", 0) {
		n.run(at, i, func(address string, k int) error {
			_, err := s.send(fmt.Sprintf("%s-%d-%d", l.word(0), i, k), address, l.duration("deadline"))
			return err
		})
	}
	return "ok", nil
}

// run repeats a request until the load ends. A VM that is not ready is passed over; a request that was cut is counted.
func (n *load) run(addresses []string, first int, request func(address string, k int) error) {
	n.wait.Go(func() {
		for k := first; ; k++ {
			select {
			case <-n.end:
				return
			default:
			}
			address, err := ReadyAddress(addresses, k)
			if err != nil {
				n.count(err)
				time.Sleep(10 * time.Millisecond)
				continue
			}
			n.count(request(address, k))
		}
	})
}

func (n *load) count(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.good++
		return
	}
	n.failed[outcome(err)]++
	n.sample[outcome(err)] = err
}

// stop ends a load; results that the step does not accept are returned.
func (s *Script) stop(l line) (string, error) {
	n := s.loads[l.word(0)]
	if n == nil {
		return "", fmt.Errorf("no load %q", l.word(0))
	}
	close(n.end)
	n.wait.Wait()
	for r, k := range n.failed {
		if l.accept(r) != "accepted" {
			return "", fmt.Errorf("%d requests ended as %q, %d well, such as: %w", k, r, n.good, n.sample[r])
		}
	}
	if n.good == 0 {
		return "", errors.New("no request was complete")
	}
	return "ok", nil
}
