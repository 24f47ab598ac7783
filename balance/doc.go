// Package balance decides which upstream gets a request, and whether a request
// may be sent a second time.
//
// It is pure: the time is an argument, nothing waits and nothing is sent, so that
// tests and measurements run the decisions that ship. A box holds one Fleet and one
// Budget; it is the box's job to hand in what happened.
package balance
