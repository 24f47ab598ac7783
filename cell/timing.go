package cell

// This file defines the spans that the control between boxes goes by.

import (
	"time"
)

// Timing holds the spans that the control between boxes goes by.
type Timing struct {
	Heartbeat   time.Duration // between probes
	Probe       time.Duration // an unanswered probe is repeated after this time
	Suspect     time.Duration // a suspected box has this time to refute it
	Dead        time.Duration // after which a silent box is missed at the latest, by one it does not answer
	Fanout      int           // boxes that get each heartbeat
	Gossip      int           // sightings in each heartbeat
	Join        time.Duration // a new box listens this long before it owns anything
	Holding     time.Duration // between renewals of leases while something waits
	Renew       time.Duration // between renewals of leases otherwise
	LeaseLife   time.Duration // a lease that is not renewed ends
	StartBy     time.Duration // a granted slot must be used within this time
	Learn       time.Duration // a new owner waits this long for what others hold
	OwnerSilent time.Duration // silence of an owner after which a box uses its own share
	ClaimRetry  time.Duration // between askings for a key
	ClaimGiveUp time.Duration // after which a claim is given up
	LimitWait   time.Duration // a request waits this long for a borrowed share
	Spare       time.Duration // between summaries to other domains
	Patience    time.Duration // a request waits this long before it may bid elsewhere
	Visit       time.Duration // a bid elsewhere that is not granted in this time comes home
	Pull        time.Duration // a pull that takes longer is tried elsewhere
	Gap         time.Duration // a gap in the own time that voids leases and view
}

// DefaultTiming suits boxes a fraction of a millisecond apart.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   250 * time.Millisecond,
		Probe:       150 * time.Millisecond,
		Suspect:     1500 * time.Millisecond,
		Dead:        2 * time.Second,
		Fanout:      3,
		Gossip:      8,
		Join:        600 * time.Millisecond,
		Holding:     500 * time.Millisecond,
		Renew:       2 * time.Second,
		LeaseLife:   5 * time.Second,
		StartBy:     time.Second,
		Learn:       1500 * time.Millisecond,
		OwnerSilent: 900 * time.Millisecond,
		ClaimRetry:  100 * time.Millisecond,
		ClaimGiveUp: time.Second,
		LimitWait:   250 * time.Millisecond,
		Spare:       time.Second,
		Patience:    200 * time.Millisecond,
		Visit:       time.Second,
		Pull:        time.Second,
		Gap:         900 * time.Millisecond,
	}
}
