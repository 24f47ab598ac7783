package relay

// This file defines the log: a line of JSON for each decision. The invariant: a
// writer never waits; what finds the ring full is dropped, and the next line that
// gets through says how many.

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/internal/ring"
)

// Fields are what a line tells besides its part and event.
type Fields = logrus.Fields

// logRing is how many lines wait at most, some 400 KB of memory.
const logRing = 2048

type logLine struct {
	part, event string
	fields      Fields
}

// Log writes lines from a goroutine of its own.
type Log struct {
	logger *logrus.Logger
	lines  *ring.Ring[logLine]
	cancel context.CancelFunc
	done   chan struct{}
}

// NewLog returns a log that writes to w; Close ends it.
func NewLog(w io.Writer) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{})
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{logger: logger, lines: ring.New[logLine](logRing), cancel: cancel, done: make(chan struct{})}
	go l.write(ctx)
	return l
}

// Event logs that something happened to a part of the box.
func (l *Log) Event(part, event string, fields Fields) {
	l.lines.TryPush(logLine{part, event, fields})
}

func (l *Log) write(ctx context.Context) {
	defer close(l.done)
	var batch []logLine
	var told uint64
	for {
		var ok bool
		batch, ok = l.lines.Wait(ctx, batch[:0])
		for _, line := range batch {
			entry := l.logger.WithFields(line.fields)
			if dropped := l.lines.Dropped(); dropped > told {
				entry = entry.WithField("lines_dropped", dropped-told)
				told = dropped
			}
			entry.Info(line.part + ": " + line.event)
		}
		if !ok {
			return
		}
	}
}

// Close writes what waits and ends the log.
func (l *Log) Close() error {
	l.cancel()
	<-l.done
	return nil
}
