//go:build review

package rig

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

const (
	storePort = 8223
	// HeartbeatPeriod is the platform's HeartbeatMs, and lapseTime the silence after which the store removes an entry.
	HeartbeatPeriod = 1200 * time.Millisecond
	lapseTime       = 3 * HeartbeatPeriod
	// Host is the host of all routes.
	Host = "drafts.example"
	// Key is the API key of all callers.
	Key = "k1z8r5w2"
	// The services of the manifest.
	ModelService = "seal-writer"
	PlainService = "order-desk"
	// Layers is the number of layers of the model. Each replica has memory for all of them, so that a path is one replica.
	Layers = 40
)

// Platform is a store with gates and replicas.
type Platform struct {
	Record       *Record
	Store        plat.Store
	StoreAddress string
	Gates        []*Gate

	dir    string
	server *http.Server

	mu       sync.Mutex
	replicas []*Replica
	children []*Child
}

// Start starts a store with a manifest and the gates of a small installation: seven in three zones.
func Start(record *Record, gates int) (*Platform, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	p := &Platform{Record: record, dir: dir}
	ip, err := freeIP(storePort)
	if err != nil {
		return p, err
	}
	p.StoreAddress = fmt.Sprintf("%s:%d", ip, storePort)
	l, err := net.Listen("tcp", p.StoreAddress)
	if err != nil {
		return p, fmt.Errorf("listen for store: %w", err)
	}
	p.server = &http.Server{Handler: &p.Store}
	go func() { _ = p.server.Serve(l) }()
	p.Store.Put("op/config", Manifest(11))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range gates {
		zone := zones[i%len(zones)]
		g, err := p.newGate(fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), zone)
		if err != nil {
			return p, err
		}
		p.Gates = append(p.Gates, g)
		record.Add("started %s in %s at %s", g.Name, zone, g.Frontend())
	}
	return p, nil
}

// Manifest returns a manifest: resumable streams of the model, and calls of the plain service.
func Manifest(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "crest-draft", "Host": Host, "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 20000, "FullValueMs": 500, "GapTargetMs": 200, "Service": ModelService, "MaxAttempts": 2, "Resumable": true, "Sticky": true, "Priority": 1},
			{"Name": "foil-order", "Host": Host, "Prefix": "/order/", "RouteKind": "non_idempotent", "TimeoutMs": 1000, "FullValueMs": 100, "Service": PlainService, "MaxAttempts": 1, "Priority": 2},
			{"Name": "order-lookup", "Host": Host, "Prefix": "/lookup/", "RouteKind": "idempotent", "TimeoutMs": 1000, "FullValueMs": 100, "Service": PlainService, "MaxAttempts": 2, "Priority": 2},
		},
		"Services": []map[string]any{
			{"Name": ModelService, "HealthPath": "/healthz", "MaxConns": 1068, "Engine": map[string]any{
				"Layers": Layers, "LayerMb": 500, "KvBytes": 200000, "ActivationBytes": 45900, "Stride": 3, "step_ms": 1, "per_seq_ms": 0.007, "read_per_s": 105000,
				"loads_at_once": 5, "report_lag_ms": 200, "usual": map[string]int{"prompt": 800, "answer": 180},
				"Models": []map[string]any{{"Name": "draft-70b", "LoadS": 1}},
				"Kinds":  []map[string]any{{"Name": "a100", "SizeMb": 72000, "pace": 2.4, "ReadFactor": 3.2}},
			}},
			{"Name": PlainService, "HealthPath": "/healthz", "MaxConns": 100},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "printer-7", "ApiKeys": []string{Key}}},
	}
}

// AwaitReady waits until all gates say that they are ready and answer a call or a stream, and returns an error after the limit.
func (p *Platform) AwaitReady(limit time.Duration, try func(g *Gate) bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var missing []string
		for _, g := range p.Gates {
			if !g.ready() || !try(g) {
				missing = append(missing, g.Name)
			}
		}
		if len(missing) == 0 {
			p.Record.Add("all gates serve")
			return nil
		}
	}
	return errors.New("not all gates serve in time")
}

// Close ends all processes that were started, by their ids, and removes the temporary folder.
func (p *Platform) Close() {
	p.mu.Lock()
	replicas, children := p.replicas, p.children
	p.mu.Unlock()
	for _, g := range p.Gates {
		g.kill()
	}
	for _, c := range children {
		c.Kill()
	}
	for _, r := range replicas {
		r.Crash()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", p.dir)
		return
	}
	_ = os.RemoveAll(p.dir)
}
