// Package e2e holds the tests that run the system as separate processes: the
// daemons, and the stand-ins for the platform, engines and plain services. They
// wait on events, never on the time.
package e2e
