// Package route chooses chains of backend servers for model requests in
// cmd/entry, from the servers and links of the environment's document; package
// chain chooses paths in cmd/gate, from the servers that a platform lists.
//
// Cheapest finds the chain with the lowest estimated cost by dynamic
// programming over layer boundaries and draws at random among chains close to
// it. Random and LeastOutstanding are baselines. TokenRateBound gives the
// max-flow bound on the token rate of a document's servers and links.
//
// The planners are safe for use by many goroutines.
package route
