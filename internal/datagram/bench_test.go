package datagram

import (
	"context"
	"testing"
)

// BenchmarkClose opens a socket and closes it: 501 ms as long as Close waited for gnet's
// own look whether it has stopped, each 500 ms; 0.2 ms since it waits for the receiver.
func BenchmarkClose(b *testing.B) {
	for b.Loop() {
		s, err := Listen(context.Background(), Config{Address: "127.0.0.1:0", Handler: func([]byte) {}})
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
