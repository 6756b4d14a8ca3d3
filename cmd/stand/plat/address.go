package plat

import (
	"fmt"
	"net"
	"os"

	"github.com/teaselstream/teaselstream/sock"
)

// FreeAddresses returns different loopback addresses that nothing listens on. They are kept open until the last one is chosen,
// since the system may give a port that was closed again. 127.0.0.1 is avoided, because an outgoing connection could take the
// port there before the VM listens. The addresses depend on the process id, so that concurrent test processes use different
// ones.
func FreeAddresses(n int) (addresses []string, err error) {
	pid := os.Getpid()
	for range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 128+pid>>8&63, pid&255))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer sock.Discard(l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
