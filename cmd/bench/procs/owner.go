package procs

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// peerSocket returns the socket of the remote end of a loopback connection, in the form that /proc/PID/fd shows.
//
// Both ends are on this machine, so the remote end has its own entry in /proc/net/tcp with the two addresses swapped.
func peerSocket(c net.Conn) (string, bool) {
	peer, peerOK := c.RemoteAddr().(*net.TCPAddr)
	local, localOK := c.LocalAddr().(*net.TCPAddr)
	if !peerOK || !localOK {
		return "", false
	}
	wantLocal, wantRemote := hexAddress(peer), hexAddress(local)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		w := strings.Fields(s.Text())
		if len(w) > 9 && w[1] == wantLocal && w[2] == wantRemote {
			return "socket:[" + w[9] + "]", true
		}
	}
	return "", false
}

// hexAddress formats an IPv4 address as /proc/net/tcp does on little-endian machines.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// hasSocket reports whether the process has the socket open.
func (x *process) hasSocket(socket string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", x.command.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		if t, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && t == socket {
			return true
		}
	}
	return false
}
