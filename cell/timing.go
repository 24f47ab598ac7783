package cell

// This file defines the intervals and timeouts of the messages between
// boxes.

import (
	"time"
)

// Timing holds the intervals and timeouts of the messages between boxes.
type Timing struct {
	Heartbeat       time.Duration // between probes
	Probe           time.Duration // an unanswered probe is repeated after this time
	Suspect         time.Duration // a suspected box has this time to refute the suspicion
	Dead            time.Duration // a silent box is considered dead after this time at the latest, by a box that it does not answer
	Fanout          int           // boxes told of a new revision at once, less one; peers asked for a loan at once
	Gossip          int           // sightings in each heartbeat
	JoinWait        time.Duration // a new box listens this long before it owns sets
	Holding         time.Duration // between renewals of leases while a bid waits
	Renew           time.Duration // between renewals of leases otherwise
	LeaseLife       time.Duration // a lease that is not renewed expires after this time
	StartBy         time.Duration // a granted slot must be used within this time
	Learn           time.Duration // a new owner waits this long for the lists of held slots
	OwnerSilent     time.Duration // silence of an owner after which a box uses its own share
	ClaimRetry      time.Duration // between repetitions of a claim
	ClaimGiveUp     time.Duration // an unanswered claim is given up after this time
	LimitWait       time.Duration // a request waits this long for a borrowed share
	Spare           time.Duration // between reports of spare slots to other domains
	OverflowWait    time.Duration // a request waits this long before it may bid in another domain
	RedirectTimeout time.Duration // a bid in another domain is withdrawn after this time
	PullTimeout     time.Duration // a pull that takes longer is tried from another box
	PauseGap        time.Duration // a longer gap between entry points counts as a pause, which voids leases and the view of the domain
}

// DefaultTiming returns values for boxes whose round trip is a fraction of a
// millisecond.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:       250 * time.Millisecond,
		Probe:           150 * time.Millisecond,
		Suspect:         1500 * time.Millisecond,
		Dead:            2 * time.Second,
		Fanout:          3,
		Gossip:          8,
		JoinWait:        600 * time.Millisecond,
		Holding:         500 * time.Millisecond,
		Renew:           2 * time.Second,
		LeaseLife:       5 * time.Second,
		StartBy:         time.Second,
		Learn:           1500 * time.Millisecond,
		OwnerSilent:     900 * time.Millisecond,
		ClaimRetry:      100 * time.Millisecond,
		ClaimGiveUp:     time.Second,
		LimitWait:       250 * time.Millisecond,
		Spare:           time.Second,
		OverflowWait:    200 * time.Millisecond,
		RedirectTimeout: time.Second,
		PullTimeout:     time.Second,
		PauseGap:        900 * time.Millisecond,
	}
}
