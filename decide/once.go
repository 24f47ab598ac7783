package decide

// This file defines idempotency keys and who may run what they mark. The
// invariant: for each key at most one claim is ever granted.
//
// Nothing can be written down and boxes forget when they are replaced, so the
// right to run is tied to somebody's memory:
//
//   - A minted key names the incarnation of the box that made it, and only that
//     incarnation grants it. If it is gone, nobody can vouch for the key any
//     more and it is refused. This holds without any assumption.
//   - A dated key names a failure domain and says when it was issued. It belongs
//     to a box by rendezvous over the platform's list, not over who is live: a
//     cut does not move it. Its owner grants it only if it has owned it, under
//     every list in force since the key was issued, and only while all listed
//     boxes are heard of and have the same list. This assumes that clocks differ
//     by at most MaxSkew.
//   - A plain key says neither. Its owner grants it once as long as it lives and
//     the list stays as it is; no more is promised.

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// KeyLife is how long a key can be used. Older ones are refused, so that
	// memory stays bounded.
	KeyLife = 10 * time.Minute
	// MaxSkew is how far the wall clocks of callers and boxes may differ.
	MaxSkew = 2 * time.Second
)

// KeyForm tells the kinds of idempotency key apart.
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
	Boot   uint64        // minted keys
	Issued time.Duration // dated: wall clock since 1970; minted: the box's own clock
}

const (
	mintedPrefix = "dmk1"
	datedPrefix  = "dmd1"
	maxKeyLength = 200
)

// ParseKey reads a key. A text that does not have the form of a dated or minted
// key is a plain key.
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
			return Key{}, fmt.Errorf("idempotency key %q: bad boot or time", text)
		}
		return Key{MintedKey, text, parts[1], parts[2], boot, time.Duration(issued)}, nil
	case parts[0] == datedPrefix && len(parts) == 4:
		ms, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil || ms < 0 || ms > 1<<43 {
			return Key{}, fmt.Errorf("idempotency key %q: bad time, want milliseconds since 1970", text)
		}
		return Key{Form: DatedKey, Text: text, Domain: parts[1], Issued: time.Duration(ms) * time.Millisecond}, nil
	case parts[0] == mintedPrefix || parts[0] == datedPrefix:
		return Key{}, fmt.Errorf("idempotency key %q: want %s:DOMAIN:UNIX_MS:NONCE or a minted key", text, datedPrefix)
	}
	return Key{Form: PlainKey, Text: text}, nil
}

// ClaimVerdict is the answer to a claim. The order is part of the wire format.
type ClaimVerdict uint8

// Verdicts on a claim.
const (
	ClaimGranted   ClaimVerdict = iota
	ClaimDuplicate              // somebody had the key before
	ClaimUnvouched              // nobody here can know
	ClaimElsewhere              // not this box's to grant
)

// rosterEpoch is a list of boxes and the wall time from which all agreed on it.
type rosterEpoch struct {
	boxes  []string
	agreed time.Duration // 0 while they have not
	ended  time.Duration // 0 while in force
}

type claimed struct {
	id   uint64
	box  string
	wall time.Duration
	now  Time
}

// Claims is one box's memory of the keys it has granted.
type Claims struct {
	domain string
	box    string
	boot   uint64
	nonce  uint64
	keys   map[string]claimed
	epochs []rosterEpoch
	swept  Time
	margin time.Duration
}

// NewClaims starts the memory of one incarnation of a box. A box that was taken
// off the list without knowing it may go on granting for up to silence, the time
// after which it misses the others.
func NewClaims(domain, box string, boot uint64, silence time.Duration) *Claims {
	return &Claims{domain: domain, box: box, boot: boot, keys: make(map[string]claimed), margin: silence + MaxSkew}
}

// Mint makes a key that only this incarnation grants.
func (c *Claims) Mint(now Time) string {
	c.nonce++
	return fmt.Sprintf("%s:%s:%s:%x:%d:%x", mintedPrefix, c.domain, c.box, c.boot, now, mix(c.boot+c.nonce))
}

// Observe says which boxes of the domain are listed and whether all of them are
// heard of and have the same list. It is called at every change and at least
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

// Forget drops what this box believed about the lists, after a pause. The
// epochs start anew, and with them what it can vouch for.
func (c *Claims) Forget() { c.epochs = nil }

// Home returns the box that a claim for the key goes to.
func (c *Claims) Home(k Key) string {
	if k.Form == MintedKey {
		return k.Box
	}
	if len(c.epochs) == 0 {
		return ""
	}
	return Owner(k.Text, c.epochs[len(c.epochs)-1].boxes)
}

// Claim decides on a claim of request id, held by box. Asking again for the
// same request gives the same answer.
func (c *Claims) Claim(now Time, wall time.Duration, k Key, box string, id uint64, agreed bool) ClaimVerdict {
	c.sweep(now)
	if had, ok := c.keys[k.Text]; ok {
		if had.id == id && had.box == box {
			return ClaimGranted
		}
		return ClaimDuplicate
	}
	if v := c.vouch(now, wall, k, agreed); v != ClaimGranted {
		return v
	}
	c.keys[k.Text] = claimed{id, box, wall, now}
	return ClaimGranted
}

// Release frees a key whose request certainly did not run.
func (c *Claims) Release(k Key, box string, id uint64) {
	if had, ok := c.keys[k.Text]; ok && had.id == id && had.box == box {
		delete(c.keys, k.Text)
	}
}

// vouch reports whether this box can know that the key was not granted before.
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

// vouchSince reports whether this box has owned the key, under lists that all
// agreed on, ever since the wall time since. A box that owned it under an older
// list can have granted it until the margin after the agreement at the latest.
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

// sweep forgets keys that are too old to be granted anyway.
func (c *Claims) sweep(now Time) {
	if now-c.swept < KeyLife/20 {
		return
	}
	c.swept = now
	for text, had := range c.keys {
		if now-had.now > KeyLife+4*MaxSkew {
			delete(c.keys, text)
		}
	}
}

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
