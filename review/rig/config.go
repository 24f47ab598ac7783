package rig

// Config is a configuration in the operator's format.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route is a route of a configuration.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"routeKind"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"latencyTargetMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapTargetMs int    `json:"gapTargetMs,omitempty"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Engine describes the engines of a service.
type Engine struct {
	Slots      int  `json:"slots"`
	KVCapacity int  `json:"kvCapacity"`
	Moves      bool `json:"moves"`
	Backups    bool `json:"backups"`
}

// Limits bound what clients send.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// Tenant holds API keys.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// DefaultLimits are those of the example on the users' page.
var DefaultLimits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// Entry is a runner's entry in the store.
type Entry struct {
	Service    string `json:"service"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Seq        int    `json:"seq"`
}
