package cell

// This file defines the intervals and timeouts of the messages between
// boxes.

import (
	"time"
)

// Timing holds the intervals and timeouts of the messages between boxes.
type Timing struct {
	Heartbeat            time.Duration // between probes
	ProbeRetryInterval   time.Duration // an unanswered probe is repeated after this time
	SuspectTimeout       time.Duration // a suspected box has this time to refute the suspicion
	DeadTimeout          time.Duration // a silent box is considered dead after this time at the latest, by a box that it does not answer
	Fanout               int           // boxes told of a new revision at once, less one; peers asked for a loan at once
	MaxSightings         int           // sightings in each heartbeat
	JoinWait             time.Duration // a new box listens this long before it owns sets
	WaitingRenewInterval time.Duration // between renewals of leases while a bid waits
	RenewInterval        time.Duration // between renewals of leases otherwise
	LeaseLife            time.Duration // a lease that is not renewed expires after this time
	StartBy              time.Duration // a granted slot must be used within this time
	OwnerLearnTime       time.Duration // a new owner waits this long for the lists of held slots
	OwnerSilent          time.Duration // silence of an owner after which a box uses its own share
	ClaimRetry           time.Duration // between repetitions of a claim
	ClaimGiveUp          time.Duration // an unanswered claim is given up after this time
	LoanWait             time.Duration // a request waits this long for a borrowed share
	SpareInterval        time.Duration // between reports of spare slots to other domains
	OverflowWait         time.Duration // a request waits this long before it may bid in another domain
	RedirectTimeout      time.Duration // a bid in another domain is withdrawn after this time
	PullTimeout          time.Duration // a pull that takes longer is tried from another box
	PauseGap             time.Duration // a longer gap between entry points counts as a pause, which voids leases and the view of the domain
}

// DefaultTiming returns values for boxes whose round trip is a fraction of a
// millisecond.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:            250 * time.Millisecond,
		ProbeRetryInterval:   150 * time.Millisecond,
		SuspectTimeout:       1500 * time.Millisecond,
		DeadTimeout:          2 * time.Second,
		Fanout:               3,
		MaxSightings:         8,
		JoinWait:             600 * time.Millisecond,
		WaitingRenewInterval: 500 * time.Millisecond,
		RenewInterval:        2 * time.Second,
		LeaseLife:            5 * time.Second,
		StartBy:              time.Second,
		OwnerLearnTime:       1500 * time.Millisecond,
		OwnerSilent:          900 * time.Millisecond,
		ClaimRetry:           100 * time.Millisecond,
		ClaimGiveUp:          time.Second,
		LoanWait:             250 * time.Millisecond,
		SpareInterval:        time.Second,
		OverflowWait:         200 * time.Millisecond,
		RedirectTimeout:      time.Second,
		PullTimeout:          time.Second,
		PauseGap:             900 * time.Millisecond,
	}
}
