// Package cover decides which layers of a model each backend server holds.
//
// Each failure domain keeps a number of copies of all layers that its memory
// allows. A server that is empty takes the range that is held least; a range
// that nobody holds is taken over by a neighbour with memory to spare, or by a
// server whose own layers are held elsewhere too.
//
// Every VM computes the same orders from the same view. The VM that ranks first
// in a failure domain gives them at once and the others only if the need lasts,
// so no lease is needed. An order names the number of orders that its server
// has accepted, which makes late, lost and repeated orders harmless.
package cover
