// Package cover decides, for cmd/gate, which layers of a model each backend
// server holds, by a ranking of VMs without a lease; package place decides it
// for cmd/entry by deciders with a lease and a record in the store.
//
// Each failure domain keeps as many copies of all layers as its memory allows.
// An empty server loads the range with the fewest holders. A range without a
// holder is taken over by a server that holds adjacent layers and has memory
// left, or by a server whose own layers have other holders.
//
// Every VM computes the same orders from the same view. The VM that ranks first
// in a failure domain gives them at once and the others only if the need lasts,
// so no lease is needed. An order states how many orders its server must have
// accepted so far, so that the server rejects late and repeated orders.
package cover
