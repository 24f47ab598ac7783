// Package e2e contains end-to-end tests that run the daemons as separate processes
// against stand-ins for the platform, engines and plain services. The tests wait for
// conditions and assert no durations.
package e2e
