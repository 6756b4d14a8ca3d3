//go:build review

package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// The ports of a machine, which are the same on all machines.
const (
	frontendPort = 8227
	readyPort    = 8220
	controlPort  = 8229
	metricsPort  = 9464
	firstPort    = 7340
	lastPort     = 7355
)

// Gate is one machine with its gate process.
type Gate struct {
	Name, Zone, IP string

	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// Frontend returns the address for callers.
func (g *Gate) Frontend() string { return fmt.Sprintf("%s:%d", g.IP, frontendPort) }

var (
	deployRun   = regexp.MustCompile(`(?m)^run = "([^"]*)"`)
	section     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills a template of settings in, as far as deploy/gate.ini uses the platform's template language.
func render(template string, fields map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", v)
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return fields[placeholder.FindStringSubmatch(s)[1]] })
}

// newGate chooses an address, writes the settings and starts the process.
func (p *Platform) newGate(name, zone string) (*Gate, error) {
	ip, err := freeIP(frontendPort, readyPort, controlPort, metricsPort, firstPort, lastPort)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/gate.ini")
	if err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	g := &Gate{Name: name, Zone: zone, IP: ip, settings: filepath.Join(p.dir, name+".ini"), log: filepath.Join(p.dir, name+".log")}
	fields := map[string]string{
		"NodeName": name, "Zone": zone, "Ip": ip, "Listen.Frontend": g.Frontend(), "Listen.Ready": fmt.Sprintf("%s:%d", ip, readyPort),
		"PortRange.0": fmt.Sprint(firstPort), "PortRange.1": fmt.Sprint(lastPort), "Platform.Address": p.StoreAddress,
		"Bounds.DrainMs": "2000", "Bounds.GraceS": "8", "Bounds.RetryRatio": "0.2", "Bounds.RetryWindowS": "10", "Bounds.RetrySlack": "198",
	}
	if err := os.WriteFile(g.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return g, g.start()
}

// start starts the process with the command of the deploy file.
func (g *Gate) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return fmt.Errorf("read deploy file: %w", err)
	}
	m := deployRun.FindSubmatch(deploy)
	if m == nil {
		return fmt.Errorf("deploy file names no command")
	}
	words := strings.Fields(string(m[1]))
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELSTREAM_SETTINGS=" + g.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", g.Name, err)
	}
	g.command, g.ended = c, make(chan struct{})
	ended := g.ended
	go func() {
		// The way in which the process ends does not matter here.
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// PID returns the id of the process.
func (g *Gate) PID() int { return g.command.Process.Pid }

// kill ends the process.
func (g *Gate) kill() {
	_ = g.command.Process.Kill()
	<-g.ended
}

// Restart kills the process and starts it again, as the platform does with one that uses too much memory.
func (g *Gate) Restart() error {
	g.kill()
	return g.start()
}

// MemoryMB returns the resident memory of the process in MB, or 0 if it has ended.
func (g *Gate) MemoryMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 || f[0] != "VmRSS:" {
			continue
		}
		kb, err := strconv.Atoi(f[1])
		if err != nil {
			return 0
		}
		return kb / 1024
	}
	return 0
}

// ready reports whether the gate says that it is ready.
func (g *Gate) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", g.IP, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
