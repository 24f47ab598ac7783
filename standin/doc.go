// Package standin holds small stand-ins for what surrounds the system: the
// platform, a model engine and a plain service. They are for tests, the demo and
// trying things out, never for use.
package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

// server is what the stand-ins have in common.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan error
}

func serve(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}, listener: l, done: make(chan error, 1)}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// Address is where the stand-in listens.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close ends the stand-in at once, as a crash would.
func (s *server) Close() error {
	err := s.http.Close()
	if end := <-s.done; !errors.Is(end, http.ErrServerClosed) {
		return end
	}
	return err
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The other side may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
