package relay

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLogRateLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	l := newLog("box", &out, func() time.Time { return now })
	for range linesPerSecond + 30 {
		l.Event("run", "failed", Fields{"id": "a"})
	}
	l.Event("document", "in force", nil) // another kind is not limited
	now = now.Add(time.Second)
	l.Event("run", "failed", Fields{"id": "b"})
	is.NoErr(l.Close())
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	is.Equal(len(lines), linesPerSecond+2)
	var last map[string]any
	is.NoErr(json.Unmarshal(lines[len(lines)-1], &last))
	is.Equal(last["lines_left_out"], 30.0)
	is.Equal(last["msg"], "run: failed")
	is.Equal(last["box"], "box")
	is.Equal(last["id"], "b")
}

// blockedWriter is a writer that blocks until it is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s
	return len(b), nil
}

func TestLogWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := make(blockedWriter)
	now := time.Unix(0, 0)
	l := newLog("box", out, func() time.Time { now = now.Add(time.Second); return now })
	for range 3 * logQueueSize {
		l.Event("request", "answered", nil) // would block here if it waited for the writer
	}
	close(out)
	is.NoErr(l.Close())
	is.True(l.lines.Dropped() >= logQueueSize)
}
