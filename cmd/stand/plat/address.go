package plat

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/teaselstream/teaselstream/sock"
)

// maxHost is the greatest last number of an address; after that many calls the first one is used again.
const maxHost = 250

// calls counts the calls of FreeAddresses.
var calls atomic.Uint32

// FreeAddresses returns different loopback addresses that nothing listens on. They are kept open until the last one is chosen,
// since the system may give a port that was closed again. 127.0.0.1 is avoided, because an outgoing connection could take the
// port there before the VM listens. The addresses depend on the process id and the call, so that concurrent test processes and
// tests use different ones.
func FreeAddresses(n int) (addresses []string, err error) {
	pid, host := os.Getpid(), 1+calls.Add(1)%maxHost
	for range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>8&63, pid&255, host))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer sock.Discard(l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
