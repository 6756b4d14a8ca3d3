// Package admit decides which requests a VM runs now, which wait and which are
// refused.
//
// Queue divides the VM's request slots among teams by start-time fair
// queueing, and orders the requests of one team by priority class and by worth
// per unit of cost. RateLimiter bounds the request rate of each team.
// RetryBudget and WindowBudget bound the retries. Resolve applies the limits of
// a configuration document to a request.
package admit
