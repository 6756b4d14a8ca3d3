// Package chain plans the path of one request over the servers that currently
// hold layers of its model, for cmd/gate; package route plans it for cmd/entry
// over the servers, layer ranges and links of the environment document.
//
// The cheapest path is found by dynamic programming over layer boundaries and
// failure domains. Costs are times: the time of the request's steps and prompt
// on each part, increased by the part's load and by penalties for paths across
// failure domains and for servers that leave, are overloaded or refuse work.
package chain
