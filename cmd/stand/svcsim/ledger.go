package svcsim

import (
	"maps"
	"sync"

	"github.com/teaselstream/teaselstream"
)

type (
	// Order is what the service knows about one key.
	Order struct {
		Key string
		// Count is the number of times that the order ran; more than 1 breaks the at-most-once promise.
		Count int
		// Server is the replica that ran it last.
		Server teaselstream.ServerID
		Body   string
	}

	// OrderStore is the data that the replicas of a service share; its zero value is empty.
	OrderStore struct {
		mu     sync.Mutex
		orders map[string]Order
		fences map[string]teaselstream.Fencing
	}
)

// fence raises a key's fencing number and reports whether n is at least the highest seen.
func (l *OrderStore) fence(key string, n teaselstream.Fencing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fences == nil {
		l.fences = map[string]teaselstream.Fencing{}
	}
	if n < l.fences[key] {
		return false
	}
	l.fences[key] = n
	return true
}

// run executes an order, again if the same key comes again.
func (l *OrderStore) run(key string, server teaselstream.ServerID, body string) Order {
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
