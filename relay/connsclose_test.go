package relay

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// Closing the idle connections to an upstream never closes one that is in use.
func TestConnectionsInUseAreNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p := newConnPool(func(string) int { return 100 })
	u := balance.Upstream{ID: "u", Address: l.Addr().String()}
	done := make(chan struct{})
	var closing, users sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				p.closeIdle("u")
			}
		}
	})
	for range 8 {
		users.Go(func() {
			for range 200 {
				c, err := p.get(context.Background(), u, "s")
				if err != nil {
					t.Errorf("connect: %v", err)
					return
				}
				if _, err = c.Write([]byte("x")); err == nil {
					_, err = io.ReadFull(c.reader, make([]byte, 1))
				}
				if err != nil {
					t.Errorf("request: %v", err)
					return
				}
				p.putIdle(c, 0)
			}
		})
	}
	users.Wait()
	close(done)
	closing.Wait()
	p.close()
	is.Equal(len(p.open), 0)
}
