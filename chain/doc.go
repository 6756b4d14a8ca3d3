// Package chain chooses the path of a model request over servers that hold
// layer ranges.
//
// The cheapest path is found by dynamic programming over layer boundaries and
// failure domains. Costs are times: the steps and prompt of the request on each
// part, scaled by the memory that requests of this VM already take there.
package chain
