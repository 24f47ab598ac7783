// Package standin implements minimal stand-ins for the router's external
// dependencies: the platform, a model engine and a plain HTTP service. They serve
// tests, the demo and local experiments, and are not for production use.
package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

// server is the HTTP server that each stand-in embeds.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan error
}

// serve listens on a TCP address and serves h in a goroutine.
func serve(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, listener: l, done: make(chan error, 1)}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// Address returns the host:port that the stand-in listens on.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections at once, as a crash would.
func (s *server) Close() error {
	err := s.http.Close()
	if serveErr := <-s.done; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return err
}

// writeJSON sends v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the client has disconnected, so no error can be sent.
	_ = json.NewEncoder(w).Encode(v)
}
