package procs

import (
	"fmt"
	"os"
	"strings"
)

// ran returns how often the orders with the given keys ran at the service.
func (s *Script) ran(l line) (string, error) {
	counts, err := OrderCounts(s.fleet.own("s1"))
	if err != nil {
		return "", err
	}
	var out []string
	for _, k := range l.words {
		out = append(out, fmt.Sprint(counts[k]))
	}
	return strings.Join(out, " "), nil
}

// Violations returns the failures found at the end of a script: invariants that a VM saw broken, panics, and orders whose callers
// were told something else than what the service knows.
func (s *Script) Violations() ([]string, error) {
	var wrong []string
	for name := range s.fleet.processes {
		data, err := os.ReadFile(s.fleet.file(name + ".log"))
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		for _, l := range strings.Split(string(data), "\n") {
			if strings.Contains(l, "invariant violated") || strings.HasPrefix(l, "panic:") {
				wrong = append(wrong, name+": "+l)
			}
		}
	}
	orders, err := s.judgeOrders()
	return append(wrong, orders...), err
}

// judgeOrders compares what callers of orders were told with how often the service ran them.
//
// An order runs at most once; it has run if a caller got its answer, and all callers got the same; it has not run
// if every caller was told NotRun.
func (s *Script) judgeOrders() ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.orders) == 0 {
		return nil, nil
	}
	counts, err := OrderCounts(s.fleet.own("s1"))
	if err != nil {
		return nil, err
	}
	var wrong []string
	answers, notRun := map[string]string{}, map[string]bool{}
	for _, t := range s.orders {
		no := strings.HasPrefix(t.result, "NotRun")
		if first, ok := notRun[t.key]; !ok || first {
			notRun[t.key] = no
		}
		if t.result != "ran" {
			if strings.HasPrefix(t.result, "Ran") && counts[t.key] == 0 {
				wrong = append(wrong, fmt.Sprintf("order %s did not run, its caller was told %s", t.key, t.result))
			}
			continue
		}
		if counts[t.key] == 0 {
			wrong = append(wrong, fmt.Sprintf("order %s did not run, its caller got an answer", t.key))
		}
		if a, ok := answers[t.key]; ok && a != t.answer {
			wrong = append(wrong, fmt.Sprintf("order %s has the answers %s and %s", t.key, a, t.answer))
		}
		answers[t.key] = t.answer
	}
	for k, n := range counts {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("order %s ran %d times", k, n))
		}
		if n > 0 && notRun[k] {
			wrong = append(wrong, fmt.Sprintf("order %s ran, all its callers were told NotRun", k))
		}
	}
	return wrong, nil
}
