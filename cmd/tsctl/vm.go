package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/hconn"
)

const (
	// vmTimeout is the maximum wait for the answer of one VM.
	vmTimeout = 2 * time.Second
	// digestHexLength is the number of hexadecimal digits of a SHA-256 digest.
	digestHexLength = 64
)

// vmStatus is the status of one VM as it reports it.
type vmStatus struct {
	Address string
	Error   string `json:",omitempty"`
	// Report is the unmodified answer of the VM; its fields may differ between versions.
	Report map[string]any `json:",omitempty"`
	// Trial is the VM's report on its document in trial.
	Trial map[string]any `json:",omitempty"`
}

// readVM requests the state of one VM.
func (a *app) readVM(address, key string) vmStatus {
	s := vmStatus{Address: address}
	err := a.readOperator(address, "/operator/status", key, &s.Report)
	if err == nil {
		err = a.readOperator(address, "/operator/trial", key, &s.Trial)
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

// readOperator requests a path of a VM's operator interface and decodes the JSON answer into out.
func (a *app) readOperator(address, path, key string, out any) error {
	ctx, cancel := context.WithTimeout(a.ctx, vmTimeout)
	defer cancel()
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	q.SetRequestURI("http://" + address + path)
	q.Header.Set("Authorization", "Bearer "+key)
	var conn hconn.Client
	if err := conn.Do(ctx, q, p); err != nil {
		return err
	}
	if p.StatusCode() != http.StatusOK {
		return fmt.Errorf("status %d", p.StatusCode())
	}
	if err := json.Unmarshal(p.Body(), out); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	return nil
}

// vmStatusTable shows the scalar values of all reports, one row per VM.
func vmStatusTable(vms []vmStatus) table {
	columns := map[string]bool{}
	for _, v := range vms {
		for k, x := range v.Report {
			switch x.(type) {
			case string, float64, bool:
				columns[k] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(columns))
	t := table{head: append(append([]string{"ADDRESS"}, names...), "Trial")}
	for _, v := range vms {
		r := []string{v.Address}
		if v.Error != "" {
			t.rows = append(t.rows, append(r, "unreachable: "+v.Error))
			continue
		}
		for _, n := range names {
			r = append(r, formatValue(v.Report[n]))
		}
		t.rows = append(t.rows, append(r, trialGeneration(v)))
	}
	return t
}

// trialGeneration formats the generation of the document that a VM has in trial.
func trialGeneration(v vmStatus) string {
	if v.Trial["InTrial"] != true {
		return "none"
	}
	return fmt.Sprint(v.Trial["Generation"])
}

// formatValue formats a value of a report; it abbreviates digests as the other tables do.
func formatValue(v any) string {
	if s, ok := v.(string); ok && len(s) == digestHexLength {
		return shortDigest(teaselstream.Digest(s))
	}
	return fmt.Sprint(v)
}
