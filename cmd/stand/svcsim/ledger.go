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
func (l *OrderStore) raiseFencing(key string, n teaselstream.Fencing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencingNumbers == nil {
		l.fencingNumbers = map[string]teaselstream.Fencing{}
	}
	if n < l.fencingNumbers[key] {
		return false
	}
	l.fencingNumbers[key] = n
	return true
}

// execute records an execution of an order; it does not deduplicate, so that tests see repeated calls.
func (l *OrderStore) execute(key string, server teaselstream.ServerID, body string) Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orders == nil {
		l.orders = map[string]Order{}
	}
	o := Order{Key: key, Count: l.orders[key].Count + 1, Server: server, Body: body}
	l.orders[key] = o
	return o
}

// Order returns the order with the key.
func (l *OrderStore) Order(key string) (Order, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.orders[key]
	return o, ok
}

// Orders returns all orders by key.
func (l *OrderStore) Orders() map[string]Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.orders)
}
