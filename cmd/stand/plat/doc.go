// Package plat is a stand-in of a platform that lists its replicas and its
// configuration in a key-value store: the store, replicas that hold layers of a
// model, and replicas of a plain service, with switches for their failures.
package plat
