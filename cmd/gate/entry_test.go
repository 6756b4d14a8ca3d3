package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a gate that ends, stops following the store or uses no replica because another writer has left an odd entry among
// those of the replicas (LOST): deeply nested, with numbers that are too large or negative, or with an address that is none.
func TestOddEntries(t *testing.T) {
	s := startPlatform(t, 2)
	entry := func(change string, value any) map[string]any {
		e := map[string]any{
			"Service": "model", "Address": "127.0.0.1:9", "Zone": "zone-a", "Slots": 64, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
			"born": 1700000000000, "RouteKind": "acc", "Layers": map[string]any{"Source": 0, "To": testLayers, "Version": 1},
		}
		e[change] = value
		return e
	}
	number := func(text string) json.RawMessage { return json.RawMessage(text) }
	layers := func(from, to string) map[string]any {
		return map[string]any{"Source": number(from), "To": number(to), "Version": 1}
	}
	odd := []any{
		json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000)),
		entry("Models", json.RawMessage(strings.Repeat("[", 9000)+strings.Repeat("]", 9000))),
		entry("More", json.RawMessage(strings.Repeat(`{"a":`, 9000)+"1"+strings.Repeat("}", 9000))),
	}
	for _, address := range []string{"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "host:80", ":80", "127.0.0.1:80\r\nA: b", "127.0.0.1:9=0-40,127.0.0.1:8"} {
		odd = append(odd, entry("Address", address))
	}
	for _, n := range []string{"1e400", "-1e300", "1e300", "9223372036854775807", "-9223372036854775808", "18446744073709551615"} {
		for _, name := range []string{"Slots", "ColdLeftMs", "Sequence", "born"} {
			odd = append(odd, entry(name, number(n)))
		}
		odd = append(odd, entry("Layers", layers("0", n)), entry("Layers", layers(n, "40")), entry("Layers", layers(n, n)))
	}
	odd = append(odd, entry("Layers", layers("0", "41")), entry("Layers", layers("39", "60000")), entry("Layers", layers("40", "0")))
	for i, e := range odd {
		s.store.Put(fmt.Sprintf("servers/odd-%03d", i), e)
	}
	time.Sleep(2 * time.Second)
	failed := 0
	for i := range 20 {
		a := s.get(i%2, "/draft/?n=5", fmt.Sprint("odd-", i))
		b := s.do(i%2, http.MethodGet, "/look/1", fmt.Sprint("look-", i), testKey)
		if !a.complete || a.status != http.StatusOK || b.status != http.StatusOK {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 20 pairs of requests fail beside odd entries", failed)
	}
	s.fleet.Configure(2, testKey, "key-b")
	s.awaitKey(t, "key-b", configApplyTime)
}
