// Package rig runs boxes as processes between small stand-ins of the platform's store, of runners
// and of clients, for the cases of the second review. The stand-ins speak what the users' page on
// the protocol says, and nothing else.
package rig
