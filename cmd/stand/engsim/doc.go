// Package engsim simulates a model engine that holds a range of layers. Its
// tokens depend on the prompt and the index only, so every chain of engines
// gives the same answer.
package engsim
