// Package detour sends exchanges with backend servers through another VM while this VM reaches no server itself: the choice of that
// VM, and the headers of the protocol between VMs.
//
// The VM that took the request keeps all decisions. The other one only carries the exchange to the named server and the answer
// back, with the method, target, body and other headers as they are; it does not pass the exchange on to a third VM.
package detour
