package plat

// Config returns a configuration as the operator writes it: a route for resumable streams of the model service, routes
// for non-idempotent and idempotent calls of the plain service, two more for calls that may take 20 s, and the API keys of one team.
func (f *Fleet) Config(version int, keys ...string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "draft", "Host": "test.example", "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 8000, "FullValueMs": 500, "Service": f.ModelService, "MaxAttempts": 2, "Resumable": true, "GapTargetMs": 200},
			{"Name": "order", "Host": "test.example", "Prefix": "/order/", "RouteKind": "non_idempotent", "TimeoutMs": 2000, "FullValueMs": 100, "Service": f.PlainService, "MaxAttempts": 1},
			{"Name": "look", "Host": "test.example", "Prefix": "/look/", "RouteKind": "idempotent", "TimeoutMs": 2000, "FullValueMs": 100, "Service": f.PlainService, "MaxAttempts": 2},
			{"Name": "batch", "Host": "test.example", "Prefix": "/batch/", "RouteKind": "non_idempotent", "TimeoutMs": 20000, "FullValueMs": 1000, "Service": f.PlainService, "MaxAttempts": 1},
			{"Name": "survey", "Host": "test.example", "Prefix": "/survey/", "RouteKind": "idempotent", "TimeoutMs": 20000, "FullValueMs": 1000, "Service": f.PlainService, "MaxAttempts": 2},
		},
		"Services": []map[string]any{
			{"Name": f.ModelService, "HealthPath": "/healthz", "Engine": map[string]any{
				"Layers": f.Layers, "LayerMb": 1000, "KvBytes": 1e6, "Stride": 3, "step_ms": 1, "read_per_s": 100000,
				"usual": map[string]int{"prompt": 700, "answer": 200},
				"Kinds": []map[string]any{{"Name": "acc", "SizeMb": 60000, "pace": 2, "ReadFactor": 2}},
			}},
			{"Name": f.PlainService, "HealthPath": "/healthz"},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 5000},
		"Tenants": []map[string]any{{"Name": "team-a", "ApiKeys": keys}},
	}
}
