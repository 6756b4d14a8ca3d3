package svcsim

import (
	"maps"
	"sync"

	"github.com/teaselstream/teaselstream"
)

type (
	// Order is the service's record of one idempotency key.
	Order struct {
		Key string
		// Count is the number of times that the order was executed; more than 1 violates at-most-once.
		Count int
		// Server is the replica that executed it last.
		Server teaselstream.ServerID
		Body   string
	}

	// OrderStore holds the data that the replicas of a service share; its zero value is empty.
	OrderStore struct {
		mu             sync.Mutex
		orders         map[string]Order
		fencingNumbers map[string]teaselstream.Fencing
	}
)

// raiseFencing raises a key's fencing number to n, or returns false if a higher one has been seen.
func (s *OrderStore) raiseFencing(key string, n teaselstream.Fencing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fencingNumbers == nil {
		s.fencingNumbers = map[string]teaselstream.Fencing{}
	}
	if n < s.fencingNumbers[key] {
		return false
	}
	s.fencingNumbers[key] = n
	return true
}

// execute records an execution of an order; it does not deduplicate, so that tests see repeated calls.
func (s *OrderStore) execute(key string, server teaselstream.ServerID, body string) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orders == nil {
		s.orders = map[string]Order{}
	}
	o := Order{Key: key, Count: s.orders[key].Count + 1, Server: server, Body: body}
	s.orders[key] = o
	return o
}

// Order returns the order with the key.
func (s *OrderStore) Order(key string) (Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orders[key]
	return o, ok
}

// Orders returns all orders by key.
func (s *OrderStore) Orders() map[string]Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.orders)
}
