package main

// hostname is the host of all routes.
const hostname = "ficu95.example"

// apiKey is the key of the only tenant.
const apiKey = "asnmgkcuyj8pjbvk9m68"

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeoutMs, latencyMs        int
	attempts                    int
	resume                      bool
}

// desiredState returns a desired state with the given routes and services.
func desiredState(version int, routes []route, engines map[string]bool) map[string]any {
	var encoded []any
	for _, r := range routes {
		encoded = append(encoded, map[string]any{
			"name": r.name, "hostname": hostname, "prefix": r.prefix, "route_type": r.kind,
			"timeout_ms": r.timeoutMs, "target_latency_ms": r.latencyMs, "priority": 0,
			"backend": r.service, "max_attempts": r.attempts, "public": false,
			"session_affinity": engines[r.service], "stream_resume": r.resume, "target_itl_ms": 300,
		})
	}
	var services []any
	for name, engine := range engines {
		s := map[string]any{"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false}
		if engine {
			s["engine"] = map[string]any{"slots": 6, "kv_capacity": 694610, "stride": 3}
		}
		services = append(services, s)
	}
	return map[string]any{
		"version":  version,
		"routes":   encoded,
		"backends": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{apiKey}, "priority": 0, "unit": "tokens", "uncached_tokens": 200,
			"rate_per_s": 1000000, "burst": 1000000,
		}},
	}
}

// replicaEntry returns the entry that a replica writes to the store.
func replicaEntry(service, address string, born int64) map[string]any {
	return map[string]any{
		"backend": service, "address": address, "zone": "kinston", "version": "v1", "slots": 6,
		"lifecycle": "ready", "cold_left_ms": 0, "seq_num": 1, "born": born,
	}
}
