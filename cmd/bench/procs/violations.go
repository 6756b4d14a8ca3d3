package procs

import (
	"fmt"
	"os"
	"strings"
)

// ran returns the number of times that the service executed each of the given order keys.
func (s *Script) ran(l step) (string, error) {
	counts, err := OrderCounts(s.fleet.direct("s1"))
	if err != nil {
		return "", err
	}
	var out []string
	for _, k := range l.args {
		out = append(out, fmt.Sprint(counts[k]))
	}
	return strings.Join(out, " "), nil
}

// Violations returns the failures found after a script: invariant violations and panics in the logs, and orders whose
// reported outcome contradicts the service's own count.
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
	orders, err := s.orderViolations()
	return append(wrong, orders...), err
}

// orderViolations compares the outcomes reported to callers with the number of times that the service ran each order.
//
// An order runs at most once. If a caller got an answer or the outcome Ran, the order ran, and all answers are equal.
// If every caller got the outcome NotRun, the order did not run.
func (s *Script) orderViolations() ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.orders) == 0 {
		return nil, nil
	}
	counts, err := OrderCounts(s.fleet.direct("s1"))
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
				wrong = append(wrong, fmt.Sprintf("order %s did not run, but a caller got the outcome %s", t.key, t.result))
			}
			continue
		}
		if counts[t.key] == 0 {
			wrong = append(wrong, fmt.Sprintf("order %s did not run, but a caller got an answer", t.key))
		}
		if a, ok := answers[t.key]; ok && a != t.answer {
			wrong = append(wrong, fmt.Sprintf("order %s has two different answers: %s and %s", t.key, a, t.answer))
		}
		answers[t.key] = t.answer
	}
	for k, n := range counts {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("order %s ran %d times", k, n))
		}
		if n > 0 && notRun[k] {
			wrong = append(wrong, fmt.Sprintf("order %s ran, but all its callers got the outcome NotRun", k))
		}
	}
	return wrong, nil
}
