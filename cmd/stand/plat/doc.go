// Package plat simulates a platform that lists its replicas and its
// configuration in a key-value store: the store, replicas that hold layers of a
// model, and replicas of a plain service, with injected failures.
package plat
