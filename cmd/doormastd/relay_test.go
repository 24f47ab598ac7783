package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestBufferLimit(t *testing.T) {
	for _, c := range []struct {
		memoryMB int
		wantMB   int64
	}{{0, 0}, {-1, 0}, {32, 8}, {184, 68}, {536, 244}} {
		is := is.New(t)
		is.Equal(bufferLimit(c.memoryMB), c.wantMB*bytesPerMB)
	}
}
