//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// freeIP returns a loopback address on which all given ports are free.
func freeIP(ports ...int) (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), 1+rand.IntN(250), 2+rand.IntN(250))
		if allFree(ip, ports) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has the ports %v free", ports)
}

func allFree(ip string, ports []int) bool {
	for _, p := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		if l.Close() != nil {
			return false
		}
	}
	return true
}
