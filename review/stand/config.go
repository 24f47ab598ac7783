package stand

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutMs, TargetMs         int
	Attempts                    int
	Sticky, Resumable           bool
	GapMs                       int
}

// Host is the host of all routes, and Key the key of the only tenant.
const (
	Host   = "review.example"
	Key    = "n2ctnfzs989anu6wsjnb"
	Tenant = "hule930"
)

// Config is a configuration with the limits of a small site.
func Config(version int, routes []Route, services []string, idleMs int) map[string]any {
	var list, names []any
	for _, r := range routes {
		m := map[string]any{"name": r.Name, "host": Host, "pathPrefix": r.Prefix, "routeKind": r.Kind, "timeoutMs": r.TimeoutMs, "latencyTargetMs": r.TargetMs,
			"priority": 1, "service": r.Service, "maxAttempts": r.Attempts, "public": false}
		if r.Kind == "streaming" {
			m["sticky"], m["resumable"], m["gapTargetMs"] = r.Sticky, r.Resumable, r.GapMs
		}
		list = append(list, m)
	}
	for _, s := range services {
		names = append(names, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": version, "routes": list, "services": names,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleMs},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}}}
}

// EngineConfig is Config with one service, whose runners are engines that move runs to each other.
func EngineConfig(version int, routes []Route, service string, idleMs int) map[string]any {
	c := Config(version, routes, []string{service}, idleMs)
	c["services"] = []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 521945, "kvTokenBytes": 18432, "linkMbps": 180000.0, "moves": true, "backups": true, "stride": 4,
			"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}}}}}
	return c
}
