// Package table defines the configuration document that operators edit. It has a
// row for each class of request, each customer with its keys, each set and each
// upstream.
//
// A Table is immutable once parsed. Parse returns either a table that passed
// every check or the list of all problems found, and never a part of a table.
package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/internal/jsonc"
)

// MaxSize is the largest document that the platform can store, in bytes.
const MaxSize = 1 << 20

// OnLate selects how a queued request is handled once it can no longer meet its
// latency target.
type OnLate string

// Values of OnLate.
const (
	Wait   OnLate = "wait"   // stays queued; it is never dropped for being late
	Refuse OnLate = "refuse" // is refused at once, with the time after which to retry
)

// Scope selects the boxes that share a limit.
type Scope string

// Values of Scope.
const (
	ScopeDomain Scope = "domain" // the limit applies to each failure domain separately
	ScopeAll    Scope = "all"    // the limit applies to all failure domains together
)

// Class holds the targets, share and limits of one class of request.
type Class struct {
	Name        string         `json:"name"`
	Tier        int            `json:"tier"`        // priority; overload affects tier 1 last
	FirstToken  jsonc.Duration `json:"first_token"` // latency target for the first token
	Whole       jsonc.Duration `json:"whole"`       // latency target for the whole answer; 0 is none
	Weight      float64        `json:"weight"`      // relative share within the tier
	Floor       float64        `json:"floor"`       // guaranteed share of the set's work, 0 to 1
	Rate        float64        `json:"rate"`        // requests a second; 0 is no limit
	Concurrency int            `json:"concurrency"` // requests running at once in a domain; 0 is no limit
	Queue       int            `json:"queue"`       // requests waiting at once in a domain; 0 means the set's limit
	MaxTokens   int            `json:"max_tokens"`  // longest answer, in tokens; 0 means the engine's limit
	Repeatable  bool           `json:"repeatable"`  // whether a request may be executed more than once
	OnLate      OnLate         `json:"on_late"`
	Set         string         `json:"set"` // name of the set of upstreams that serves the class
	Scope       Scope          `json:"scope"`
}

// Customer is an organization whose callers authenticate with its bearer keys.
type Customer struct {
	Name         string   `json:"name"`
	KeyHashes    []string `json:"key_hashes,omitempty"` // SHA-256 of each bearer key, in hex
	DefaultClass string   `json:"default_class"`
	Classes      []string `json:"classes,omitempty"` // names of the classes it may use; empty means all
	Rate         float64  `json:"rate"`              // requests a second; 0 is no limit
	Concurrency  int      `json:"concurrency"`       // requests running at once; 0 is no limit
	Scope        Scope    `json:"scope"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// Values of Kind.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// Upstream is a back end: a model engine or a plain service.
type Upstream struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Address     string `json:"address"` // IP:port
	Kind        Kind   `json:"kind"`
	Set         string `json:"set"`
	Model       string `json:"model"`
	Slots       int    `json:"slots"`        // answers it can generate at once
	ChecksFence bool   `json:"checks_fence"` // whether it rejects requests with an outdated fencing token
}

// Set holds the settings common to a named group of upstreams.
type Set struct {
	Name  string `json:"name"`
	Queue int    `json:"queue"` // requests of all classes waiting at once in a domain; 0 means DefaultQueue
}

// Table is the parsed document.
type Table struct {
	Revision  uint64     `json:"revision"` // assigned by the platform; set by the reader, not by the operator
	Classes   []Class    `json:"classes,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	Sets      []Set      `json:"sets,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`

	digest  uint64
	classes map[string]*Class    // by name
	keys    map[string]*Customer // by hash of the bearer key
}

// DefaultQueue is the queue limit of a set whose row gives none, in requests.
const DefaultQueue = 1000

// Parse parses and validates a document; file is its name in error messages. The
// error is of type jsonc.Problems.
func Parse(file string, source []byte) (*Table, error) {
	if len(source) > MaxSize {
		return nil, jsonc.Problems{{File: file, Line: 1, Field: "document",
			Found: fmt.Sprintf("%d bytes", len(source)), Allowed: "at most 1048576 bytes"}}
	}
	t := new(Table)
	check := func(c *jsonc.Checker) {
		t.setDefaults()
		t.check(c)
	}
	if err := jsonc.ParseChecked(file, source, t, check); err != nil {
		return nil, err
	}
	t.index()
	return t, nil
}

// setDefaults fills in the columns that an operator may leave out.
func (t *Table) setDefaults() {
	for i := range t.Classes {
		c := &t.Classes[i]
		if c.Weight == 0 {
			c.Weight = 1
		}
		if c.OnLate == "" {
			c.OnLate = Wait
		}
		if c.Scope == "" {
			c.Scope = ScopeDomain
		}
	}
	for i := range t.Customers {
		if t.Customers[i].Scope == "" {
			t.Customers[i].Scope = ScopeDomain
		}
	}
	for i := range t.Upstreams {
		if t.Upstreams[i].Kind == "" {
			t.Upstreams[i].Kind = Engine
		}
	}
}

func (t *Table) index() {
	t.classes = make(map[string]*Class, len(t.Classes))
	for i := range t.Classes {
		t.classes[t.Classes[i].Name] = &t.Classes[i]
	}
	t.keys = make(map[string]*Customer)
	for i := range t.Customers {
		for _, h := range t.Customers[i].KeyHashes {
			t.keys[h] = &t.Customers[i]
		}
	}
	t.digest = xxhash.Sum64(t.Document())
}

// Digest returns a 64-bit hash of the content, the revision included.
func (t *Table) Digest() uint64 { return t.digest }

// Document returns the table as canonical JSON.
func (t *Table) Document() []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	// Encoding cannot fail: the struct holds only strings, booleans and numbers.
	_ = e.Encode(t)
	return b.Bytes()
}

// WithRevision returns a copy of t with the revision that the platform assigned.
func (t *Table) WithRevision(revision uint64) *Table {
	c := *t
	c.Revision = revision
	c.index()
	return &c
}

// Class returns the row called name, or nil.
func (t *Table) Class(name string) *Class { return t.classes[name] }

// Authenticate returns the customer that holds the bearer key, or nil.
func (t *Table) Authenticate(key string) *Customer { return t.keys[HashKey(key)] }

// MayUse reports whether the customer may use the class.
func (c *Customer) MayUse(class string) bool {
	if len(c.Classes) == 0 {
		return true
	}
	for _, name := range c.Classes {
		if name == class {
			return true
		}
	}
	return false
}

// HashKey returns the SHA-256 of a bearer key in hex, the form of
// Customer.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// QueueLimit returns the number of requests that may wait for a set in one
// failure domain.
func (t *Table) QueueLimit(set string) int {
	for i := range t.Sets {
		if t.Sets[i].Name == set && t.Sets[i].Queue > 0 {
			return t.Sets[i].Queue
		}
	}
	return DefaultQueue
}

// Models lists the models of the upstreams, each once, in the table's order.
func (t *Table) Models() []string {
	var models []string
	seen := make(map[string]bool)
	for _, u := range t.Upstreams {
		if u.Model != "" && !seen[u.Model] {
			seen[u.Model] = true
			models = append(models, u.Model)
		}
	}
	return models
}

// LongestTarget returns the largest latency target of any class, which bounds the
// expected duration of a request that meets its target.
func (t *Table) LongestTarget() time.Duration {
	var longest time.Duration
	for i := range t.Classes {
		longest = max(longest, t.Classes[i].FirstToken.Std(), t.Classes[i].Whole.Std())
	}
	return longest
}
