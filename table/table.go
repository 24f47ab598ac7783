// Package table defines the one document that operators edit: a row for each
// class of request, the customers with their keys, and the upstreams.
//
// A Table is immutable once parsed. It is taken whole or not at all: Parse
// returns either a table that passed every check or the list of its problems.
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

// MaxSize is the largest document that the platform holds, in bytes.
const MaxSize = 1 << 20

// OnLate says what becomes of a request that cannot meet its target any more.
type OnLate string

// Values of OnLate.
const (
	Wait   OnLate = "wait"   // it waits on and is never dropped for being late
	Refuse OnLate = "refuse" // it is refused at once and told when to come back
)

// Scope says over which boxes a limit holds.
type Scope string

// Values of Scope.
const (
	ScopeDomain Scope = "domain" // each failure domain has the limit for itself
	ScopeAll    Scope = "all"    // all failure domains together
)

// Class is a row of the table.
type Class struct {
	Name        string         `json:"name"`
	Tier        int            `json:"tier"`        // 1 is sacrificed last
	FirstToken  jsonc.Duration `json:"first_token"` // target for the first token
	Whole       jsonc.Duration `json:"whole"`       // target for the whole answer; 0 is none
	Weight      float64        `json:"weight"`      // share within the tier
	Floor       float64        `json:"floor"`       // least share of the set's work, 0 to 1
	Rate        float64        `json:"rate"`        // requests a second; 0 is no limit
	Concurrency int            `json:"concurrency"` // running at once in a domain; 0 is no limit
	Queue       int            `json:"queue"`       // waiting at once in a domain; 0 is the set's
	MaxTokens   int            `json:"max_tokens"`  // longest answer, in tokens; 0 is the engine's
	Repeatable  bool           `json:"repeatable"`  // whether a request may run twice
	OnLate      OnLate         `json:"on_late"`
	Set         string         `json:"set"` // the upstreams that serve it
	Scope       Scope          `json:"scope"`
}

// Customer is somebody whose callers hold keys.
type Customer struct {
	Name         string   `json:"name"`
	KeyHashes    []string `json:"key_hashes,omitempty"` // SHA-256 of each bearer key, in hex
	DefaultClass string   `json:"default_class"`
	Classes      []string `json:"classes,omitempty"` // classes it may use; empty is all
	Rate         float64  `json:"rate"`
	Concurrency  int      `json:"concurrency"`
	Scope        Scope    `json:"scope"`
}

// Kind tells engines from plain services.
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
	Slots       int    `json:"slots"`        // answers generated at once
	ChecksFence bool   `json:"checks_fence"` // whether it refuses orders with an old fence
}

// Set holds what is common to the upstreams of one set.
type Set struct {
	Name  string `json:"name"`
	Queue int    `json:"queue"` // waiting at once in a domain, all classes together
}

// Table is the document.
type Table struct {
	Revision  uint64     `json:"revision"` // the platform's; set by the reader, not the operator
	Classes   []Class    `json:"classes,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
	Sets      []Set      `json:"sets,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`

	digest  uint64
	classes map[string]*Class
	keys    map[string]*Customer
}

// DefaultQueue is a set's queue limit where the table gives none.
const DefaultQueue = 1000

// Parse reads and checks a document. The error is of type jsonc.Problems.
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

// Digest identifies the content, the revision included.
func (t *Table) Digest() uint64 { return t.digest }

// Document is the table as canonical JSON.
func (t *Table) Document() []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	// A struct of strings and numbers always encodes.
	_ = e.Encode(t)
	return b.Bytes()
}

// WithRevision returns a copy of t that carries the platform's revision.
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

// HashKey is the form in which the table holds a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// QueueLimit is how many requests may wait for a set in one failure domain.
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

// Longest is the largest latency target of any class; it bounds how long a
// well-behaved request can be expected to stay.
func (t *Table) Longest() time.Duration {
	var longest time.Duration
	for i := range t.Classes {
		longest = max(longest, t.Classes[i].FirstToken.Std(), t.Classes[i].Whole.Std())
	}
	return longest
}
