// Package reach decides whether this VM can reach backend servers at all, from the connections that it opens to them.
package reach
