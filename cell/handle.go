package cell

// This file defines the dispatch of messages to their handlers. Invariant:
// each kind of message has exactly one handler.

// handle calls the handler of a message from another box, or from this box
// to itself.
func (n *Node) handle(from string, m Message) {
	switch m := m.(type) {
	case *TableOffer:
		n.onTableOffer(from, m)
	case *Bid:
		n.onBid(from, m)
	case *Withdraw:
		n.onWithdraw(m)
	case *Grant:
		n.onGrant(from, m)
	case *Refusal:
		n.onRefusal(from, m)
	case *Preempt:
		n.onPreempt(from, m)
	case *Recall:
		n.onRecall(from, m)
	case *Release:
		n.onRelease(m)
	case *Holding:
		n.onHolding(from, m)
	case *HoldingAsk:
		n.onHoldingAsk(from, m)
	case *Claim:
		n.onClaim(from, m)
	case *ClaimReply:
		n.onClaimReply(m)
	case *Ask:
		n.onAsk(from, m)
	case *Lend:
		n.onLend(from, m)
	case *Spare:
		n.onSpare(m)
	case *Ends:
		n.onEnds(from, m)
	}
}
