package decide

// This file defines idempotency keys and which box may run a request that carries
// one. The invariant: each key is granted to at most one request.
//
// Boxes have no persistent storage and lose their memory when they are replaced, so
// the right to grant a key is tied to one box's memory:
//
//   - A minted key names the incarnation of the box that issued it, and only that
//     incarnation grants it. After the incarnation ends, no box can tell whether the
//     key was used, and it is refused. This requires no assumptions.
//   - A dated key names a failure domain and its time of issue. Rendezvous hashing
//     over the platform's list of boxes, not over the live boxes, assigns it to an
//     owner, so a network partition does not move it. The owner grants the key only
//     if it has owned it under every list in force since the time of issue, and only
//     while all listed boxes are reachable and have the same list. This assumes that
//     clocks differ by at most MaxSkew.
//   - A plain key is any other text. Its owner grants it once as long as the owner
//     lives and the list of boxes stays the same; nothing more is guaranteed.

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// KeyLife is how long a key can be used after its issue. Older keys are
	// refused, which bounds the memory.
	KeyLife = 10 * time.Minute
	// MaxSkew is the maximum difference between the wall clocks of callers and
	// boxes.
	MaxSkew = 2 * time.Second
)

// KeyForm is the form of an idempotency key.
type KeyForm uint8

// Forms of an idempotency key.
const (
	PlainKey KeyForm = iota
	DatedKey
	MintedKey
)

// Key is a parsed idempotency key.
type Key struct {
	Form   KeyForm
	Text   string
	Domain string        // dated and minted keys
	Box    string        // minted keys
	Boot   uint64        // minted keys: identifies the incarnation of the box
	Issued time.Duration // dated keys: wall clock since 1970; minted keys: local clock of the issuing box
}

const (
	mintedPrefix = "dmk1"
	datedPrefix  = "dmd1"
	maxKeyLength = 200
)

// ParseKey parses an idempotency key. A text without the prefix of a dated or minted
// key is a plain key. It returns an error if the text is empty or too long, or if it
// has such a prefix and is malformed.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("idempotency key: %d bytes, want 1 to %d", len(text), maxKeyLength)
	}
	parts := strings.Split(text, ":")
	switch {
	case parts[0] == mintedPrefix && len(parts) == 6:
		boot, err1 := strconv.ParseUint(parts[3], 16, 64)
		issued, err2 := strconv.ParseInt(parts[4], 10, 64)
		if err1 != nil || err2 != nil {
			return Key{}, fmt.Errorf("idempotency key %q: invalid incarnation or time", text)
		}
		return Key{MintedKey, text, parts[1], parts[2], boot, time.Duration(issued)}, nil
	case parts[0] == datedPrefix && len(parts) == 4:
		ms, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil || ms < 0 || ms > 1<<43 {
			return Key{}, fmt.Errorf("idempotency key %q: invalid time, want milliseconds since 1970", text)
		}
		return Key{Form: DatedKey, Text: text, Domain: parts[1], Issued: time.Duration(ms) * time.Millisecond}, nil
	case parts[0] == mintedPrefix || parts[0] == datedPrefix:
		return Key{}, fmt.Errorf("idempotency key %q: want %s:DOMAIN:UNIX_MS:NONCE or a minted key", text, datedPrefix)
	}
	return Key{Form: PlainKey, Text: text}, nil
}

// ClaimVerdict is the answer to a claim. The wire format depends on the order.
type ClaimVerdict uint8

// Answers to a claim.
const (
	ClaimGranted   ClaimVerdict = iota
	ClaimDuplicate              // another request was granted the key
	ClaimUnvouched              // this box cannot rule out that the key was granted before
	ClaimElsewhere              // another box or failure domain decides on the key
)

// rosterEpoch is a list of boxes and the period in which it was in force, in wall
// time.
type rosterEpoch struct {
	boxes  []string
	agreed time.Duration // when all listed boxes had the list; 0 if not yet
	ended  time.Duration // 0 while the list is in force
}

// claimRecord is the request that a key was granted to.
type claimRecord struct {
	id   uint64
	box  string
	wall time.Duration
	now  Time
}

// Claims records the keys that one incarnation of a box has granted.
type Claims struct {
	domain    string
	box       string
	boot      uint64
	nonce     uint64
	keys      map[string]claimRecord
	epochs    []rosterEpoch
	lastSweep Time
	margin    time.Duration // how long after an agreement a previous owner may still grant keys
}

// NewClaims returns an empty record for one incarnation of a box. silence is the
// time without messages after which a box considers the others unreachable: a box
// that was removed from the list and does not know it may grant keys for that long.
func NewClaims(domain, box string, boot uint64, silence time.Duration) *Claims {
	return &Claims{domain: domain, box: box, boot: boot, keys: make(map[string]claimRecord), margin: silence + MaxSkew}
}

// Mint issues a key that only this incarnation grants.
func (c *Claims) Mint(now Time) string {
	c.nonce++
	return fmt.Sprintf("%s:%s:%s:%x:%d:%x", mintedPrefix, c.domain, c.box, c.boot, now, mix(c.boot+c.nonce))
}

// Observe records the listed boxes of the domain, and whether all of them are
// reachable and have the same list. It must be called at every change and at least
// before every claim.
func (c *Claims) Observe(wall time.Duration, boxes []string, agreed bool) {
	last := len(c.epochs) - 1
	if last < 0 || !equal(c.epochs[last].boxes, boxes) {
		if last >= 0 {
			c.epochs[last].ended = wall
		}
		c.epochs = append(c.epochs, rosterEpoch{boxes: append([]string(nil), boxes...)})
		last++
	}
	if agreed && c.epochs[last].agreed == 0 {
		c.epochs[last].agreed = wall
	}
	for len(c.epochs) > 1 && c.epochs[0].ended+KeyLife+2*MaxSkew < wall {
		c.epochs = c.epochs[1:]
	}
}

// Forget discards the recorded lists after this process was suspended. New epochs
// start at the next Observe, and dated keys issued before are refused.
func (c *Claims) Forget() { c.epochs = nil }

// Home returns the box that decides on claims for the key, or "" if no list of
// boxes is known.
func (c *Claims) Home(k Key) string {
	if k.Form == MintedKey {
		return k.Box
	}
	if len(c.epochs) == 0 {
		return ""
	}
	return Owner(k.Text, c.epochs[len(c.epochs)-1].boxes)
}

// Claim decides whether the request id, held by box, may use the key. A repeated
// claim by the same request gets the same answer.
func (c *Claims) Claim(now Time, wall time.Duration, k Key, box string, id uint64, agreed bool) ClaimVerdict {
	c.sweep(now)
	if claim, ok := c.keys[k.Text]; ok {
		if claim.id == id && claim.box == box {
			return ClaimGranted
		}
		return ClaimDuplicate
	}
	if v := c.vouch(now, wall, k, agreed); v != ClaimGranted {
		return v
	}
	c.keys[k.Text] = claimRecord{id, box, wall, now}
	return ClaimGranted
}

// Release frees a key whose request is known not to have run.
func (c *Claims) Release(k Key, box string, id uint64) {
	if claim, ok := c.keys[k.Text]; ok && claim.id == id && claim.box == box {
		delete(c.keys, k.Text)
	}
}

// vouch returns ClaimGranted if this box can rule out that the key was granted
// before, and otherwise the reason why it cannot.
func (c *Claims) vouch(now Time, wall time.Duration, k Key, agreed bool) ClaimVerdict {
	switch k.Form {
	case MintedKey:
		if k.Domain != c.domain || k.Box != c.box || k.Boot != c.boot {
			return ClaimElsewhere
		}
		if k.Issued > now || now-k.Issued > KeyLife {
			return ClaimUnvouched
		}
		return ClaimGranted
	case DatedKey:
		if k.Domain != c.domain {
			return ClaimElsewhere
		}
		if k.Issued > wall+MaxSkew || wall-k.Issued > KeyLife {
			return ClaimUnvouched
		}
		return c.vouchSince(k, k.Issued-MaxSkew, agreed)
	}
	if c.Home(k) != c.box {
		return ClaimElsewhere
	}
	return ClaimGranted
}

// vouchSince checks that this box has owned the key, under lists that all boxes
// agreed on, since the wall time since. A box that owned the key under an older list
// can have granted it until margin after the agreement at the latest.
func (c *Claims) vouchSince(k Key, since time.Duration, agreed bool) ClaimVerdict {
	if !agreed || len(c.epochs) == 0 {
		return ClaimUnvouched
	}
	if c.Home(k) != c.box {
		return ClaimElsewhere
	}
	for i := len(c.epochs) - 1; i >= 0; i-- {
		e := c.epochs[i]
		if e.agreed != 0 && since > e.agreed+c.margin {
			return ClaimGranted
		}
		if i > 0 && Owner(k.Text, c.epochs[i-1].boxes) != c.box {
			return ClaimUnvouched
		}
	}
	return ClaimUnvouched
}

// sweep removes the records of keys that are too old to be granted.
func (c *Claims) sweep(now Time) {
	if now-c.lastSweep < KeyLife/20 {
		return
	}
	c.lastSweep = now
	for text, claim := range c.keys {
		if now-claim.now > KeyLife+4*MaxSkew {
			delete(c.keys, text)
		}
	}
}

// equal reports whether two lists of boxes are the same, order included.
func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
