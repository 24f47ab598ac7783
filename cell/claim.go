package cell

// This file defines how the right to run an idempotency key is asked for. The
// invariant: a request with a key is sent to an upstream only after the key's
// home has granted it, and the grant is given back only when the request
// certainly did not run.

import (
	"github.com/doormast/doormast/decide"
)

// Mint makes an idempotency key that only this incarnation of the box grants.
func (n *Node) Mint() string { return n.claims.Mint(n.now) }

// claimOrBid goes on with a request that has passed its limits.
func (n *Node) claimOrBid(l *local) {
	if l.req.Key == "" || n.cfg.Unfenced.Claims {
		n.bid(l)
		return
	}
	key, err := decide.ParseKey(l.req.Key)
	if err != nil {
		n.end(l, Final{Reason: decide.BadRequest})
		return
	}
	l.key = key
	if key.Form != decide.PlainKey && key.Domain != n.cfg.Domain {
		n.end(l, Final{Reason: decide.KeyElsewhere, Ran: true})
		return
	}
	l.step(eventClaim)
	l.claimFirst = n.now
	n.claim(l)
}

// claim asks the key's home.
func (n *Node) claim(l *local) {
	l.claimSent = n.now
	l.home = n.claims.Home(l.key)
	switch {
	case l.home == n.cfg.Box:
		n.claimed(l, n.claims.Claim(n.now, n.wall, l.key, n.cfg.Box, l.req.ID, n.agreed()))
	case l.home != "":
		n.send(l.home, &Claim{Key: l.key.Text, ID: l.req.ID})
	}
}

func (n *Node) onClaim(from string, m *Claim) {
	key, err := decide.ParseKey(m.Key)
	if err != nil {
		return
	}
	if m.GiveBack {
		n.claims.GiveBack(key, from, m.ID)
		return
	}
	n.observe()
	v := n.claims.Claim(n.now, n.wall, key, from, m.ID, n.agreed())
	n.send(from, &ClaimReply{Key: m.Key, ID: m.ID, Verdict: v})
}

func (n *Node) onClaimReply(m *ClaimReply) {
	if l := n.locals[m.ID]; l != nil && l.state == stateClaiming && l.key.Text == m.Key {
		n.claimed(l, m.Verdict)
	}
}

// claimed acts on the verdict of the key's home.
func (n *Node) claimed(l *local, v decide.ClaimVerdict) {
	switch v {
	case decide.ClaimGranted:
		l.hasClaim = true
		n.bid(l)
	case decide.ClaimDuplicate:
		n.end(l, Final{Reason: decide.DuplicateKey, Ran: true})
	default:
		n.end(l, Final{Reason: decide.KeyNotVouched, Ran: true, RetryAfter: n.timing.Dead})
	}
}

// giveBackClaim frees the key of a request that did not run.
func (n *Node) giveBackClaim(l *local) {
	if !l.hasClaim {
		return
	}
	if l.home == n.cfg.Box {
		n.claims.GiveBack(l.key, n.cfg.Box, l.req.ID)
		return
	}
	n.send(l.home, &Claim{Key: l.key.Text, ID: l.req.ID, GiveBack: true})
}

// tickClaims asks again for keys whose home has not answered, and gives up in
// the end. An earlier request with the key may have run, so the caller is told
// that it is not known.
func (n *Node) tickClaims() {
	for _, l := range n.sorted(func(l *local) bool { return l.state == stateClaiming }) {
		switch {
		case n.now-l.claimFirst >= n.timing.ClaimGiveUp:
			n.end(l, Final{Reason: decide.KeyNotVouched, Ran: true, RetryAfter: n.timing.Dead})
		case n.now-l.claimSent >= n.timing.ClaimRetry:
			n.claim(l)
		}
	}
}
