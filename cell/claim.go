package cell

// This file defines how a box claims the right to run a request with an
// idempotency key. Invariant: a request with a key is sent to an upstream
// only after the key's home box has granted the claim, and the claim is
// given back only when the request certainly did not run.

import (
	"github.com/doormast/doormast/decide"
)

// MintKey creates an idempotency key that only this incarnation of the box
// grants.
func (n *Node) MintKey() string { return n.claims.Mint(n.now) }

// claimOrBid continues with a request that has passed its limits: it claims
// the request's key, or bids if there is no key.
func (n *Node) claimOrBid(l *localRequest) {
	if l.req.Key == "" || n.cfg.Disabled.Claims {
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
	l.claimStarted = n.now
	n.claim(l)
}

// claim asks the key's home box for the right to run the request.
func (n *Node) claim(l *localRequest) {
	l.claimSent = n.now
	l.keyHome = n.claims.Home(l.key)
	switch {
	case l.keyHome == n.cfg.Box:
		n.onClaimVerdict(l, n.claims.Claim(n.now, n.wall, l.key, n.cfg.Box, l.req.ID, n.membershipAgreed()))
	case l.keyHome != "":
		n.send(l.keyHome, &Claim{Key: l.key.Text, ID: l.req.ID})
	}
}

func (n *Node) onClaim(from string, m *Claim) {
	key, err := decide.ParseKey(m.Key)
	if err != nil {
		return
	}
	if m.GiveBack {
		n.claims.Release(key, from, m.ID)
		return
	}
	n.observe()
	v := n.claims.Claim(n.now, n.wall, key, from, m.ID, n.membershipAgreed())
	n.send(from, &ClaimReply{Key: m.Key, ID: m.ID, Verdict: v})
}

func (n *Node) onClaimReply(m *ClaimReply) {
	if l := n.requests[m.ID]; l != nil && l.state == stateClaiming && l.key.Text == m.Key {
		n.onClaimVerdict(l, m.Verdict)
	}
}

// onClaimVerdict acts on the verdict of the key's home box.
func (n *Node) onClaimVerdict(l *localRequest, v decide.ClaimVerdict) {
	switch v {
	case decide.ClaimGranted:
		l.hasClaim = true
		n.bid(l)
	case decide.ClaimDuplicate:
		n.end(l, Final{Reason: decide.DuplicateKey, Ran: true})
	default:
		n.end(l, Final{Reason: decide.KeyNotVouched, Ran: true, RetryAfter: n.timing.DeadTimeout})
	}
}

// giveBackClaim gives back the claim of a request that did not run.
func (n *Node) giveBackClaim(l *localRequest) {
	if !l.hasClaim {
		return
	}
	if l.keyHome == n.cfg.Box {
		n.claims.Release(l.key, n.cfg.Box, l.req.ID)
		return
	}
	n.send(l.keyHome, &Claim{Key: l.key.Text, ID: l.req.ID, GiveBack: true})
}

// tickClaims repeats claims that the key's home box has not answered, and
// gives up after ClaimGiveUp. An earlier request with the same key may have
// run, so the caller is told that the outcome is unknown.
func (n *Node) tickClaims() {
	for _, l := range n.sortedRequests(func(l *localRequest) bool { return l.state == stateClaiming }) {
		switch {
		case n.now-l.claimStarted >= n.timing.ClaimGiveUp:
			n.end(l, Final{Reason: decide.KeyNotVouched, Ran: true, RetryAfter: n.timing.DeadTimeout})
		case n.now-l.claimSent >= n.timing.ClaimRetry:
			n.claim(l)
		}
	}
}
