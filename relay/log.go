package relay

// This file defines the log: a line of JSON for each decision. The invariants: a
// writer never waits, what finds the ring full is dropped; a kind of line takes at
// most linesPerSecond; and both are counted in the next line that gets through.

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/internal/ring"
)

// Fields are what a line tells besides its part and event.
type Fields = logrus.Fields

const (
	// logRing is how many lines wait at most, some 400 KB of memory.
	logRing = 1024
	// linesPerSecond bounds the lines of one kind, ten times what a box takes in
	// requests on a calm day.
	linesPerSecond = 100
	// logTime is the form of a line's time.
	logTime = "2006-01-02T15:04:05.000Z07:00"
)

type logLine struct {
	part, event string
	at          time.Time
	fields      Fields
	leftOut     int // lines of its kind, since the one before
}

// kind counts the lines of one kind.
type kind struct {
	second  int64
	lines   int
	leftOut int
}

// Log writes lines from a goroutine of its own.
type Log struct {
	logger *logrus.Entry
	lines  *ring.Ring[logLine]
	now    func() time.Time
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	kinds map[string]*kind
}

// NewLog returns a box's log that writes to w; Close ends it.
func NewLog(box string, w io.Writer) *Log { return newLog(box, w, time.Now) }

func newLog(box string, w io.Writer, now func() time.Time) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTime})
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{logger: logger.WithField("box", box), lines: ring.New[logLine](logRing), now: now, cancel: cancel,
		done: make(chan struct{}), kinds: make(map[string]*kind)}
	go l.write(ctx)
	return l
}

// Event logs that something happened to a part of the box. The fields are the log's
// afterwards.
func (l *Log) Event(part, event string, fields Fields) {
	at := l.now()
	leftOut, ok := l.admit(part+": "+event, at)
	if ok {
		l.lines.TryPush(logLine{part, event, at, fields, leftOut})
	}
}

// admit decides whether a line of the kind may be written.
func (l *Log) admit(name string, at time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = new(kind)
		l.kinds[name] = k
	}
	if second := at.Unix(); second != k.second {
		k.second, k.lines = second, 0
	}
	if k.lines >= linesPerSecond {
		k.leftOut++
		return 0, false
	}
	k.lines++
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}

func (l *Log) write(ctx context.Context) {
	defer close(l.done)
	var batch []logLine
	var told uint64
	for {
		var ok bool
		batch, ok = l.lines.Wait(ctx, batch[:0])
		for _, line := range batch {
			dropped := l.lines.Dropped()
			l.writeLine(line, dropped-told)
			told = dropped
		}
		if !ok {
			return
		}
	}
}

func (l *Log) writeLine(line logLine, dropped uint64) {
	entry := l.logger.WithTime(line.at).WithFields(line.fields)
	if dropped > 0 {
		entry = entry.WithField("lines_dropped", dropped)
	}
	if line.leftOut > 0 {
		entry = entry.WithField("lines_left_out", line.leftOut)
	}
	entry.Info(line.part + ": " + line.event)
}

// Close writes what waits and ends the log.
func (l *Log) Close() error {
	l.cancel()
	<-l.done
	return nil
}
