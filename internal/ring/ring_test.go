package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestRing(t *testing.T) {
	is := is.New(t)
	r := New[int](2)
	is.True(r.TryPush(1))
	is.True(r.TryPush(2))
	is.True(!r.TryPush(3)) // a full ring fails at once
	is.Equal(r.Dropped(), uint64(1))
	got, ok := r.Wait(context.Background(), nil)
	is.True(ok)
	is.Equal(got, []int{1, 2})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = r.Wait(ctx, nil)
	is.True(!ok)
}
