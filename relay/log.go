package relay

// This file defines the log: one line of JSON for each event. The invariants: a writer never
// blocks, and a line that finds the queue full is dropped; each kind of event gets at most
// linesPerSecond lines; and lines lost to either limit are counted in the next line that is
// written.

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/internal/ring"
)

// Fields are the fields of a line besides its part and event.
type Fields = logrus.Fields

const (
	// logQueueSize is the number of lines that may be queued, some 400 KB of memory.
	logQueueSize = 1024
	// linesPerSecond bounds the lines of one kind: ten times the requests that a box receives
	// on a calm day.
	linesPerSecond = 100
	// logTimeLayout is the layout of a line's time.
	logTimeLayout = "2006-01-02T15:04:05.000Z07:00"
)

type logLine struct {
	part, event string
	at          time.Time
	fields      Fields
	suppressed  int // lines of its kind that the rate limit suppressed since the previous one
}

// eventRate counts the lines of one kind in the current second.
type eventRate struct {
	second     int64
	lines      int
	suppressed int
}

// Log writes lines from its own goroutine.
type Log struct {
	logger *logrus.Entry
	lines  *ring.Ring[logLine]
	now    func() time.Time
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	rates map[string]*eventRate
}

// NewLog returns a box's log that writes to w; Close flushes and stops it.
func NewLog(box string, w io.Writer) *Log { return newLog(box, w, time.Now) }

func newLog(box string, w io.Writer, now func() time.Time) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeLayout})
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{logger: logger.WithField("box", box), lines: ring.New[logLine](logQueueSize), now: now, cancel: cancel,
		done: make(chan struct{}), rates: make(map[string]*eventRate)}
	go l.write(ctx)
	return l
}

// Event logs an event of a part of the box. The log owns the fields afterwards.
func (l *Log) Event(part, event string, fields Fields) {
	at := l.now()
	suppressed, ok := l.admit(part+": "+event, at)
	if ok {
		l.lines.TryPush(logLine{part, event, at, fields, suppressed})
	}
}

// admit decides whether a line of a kind may be written. It also returns how many were
// suppressed before.
func (l *Log) admit(name string, at time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.rates[name]
	if k == nil {
		k = new(eventRate)
		l.rates[name] = k
	}
	if second := at.Unix(); second != k.second {
		k.second, k.lines = second, 0
	}
	if k.lines >= linesPerSecond {
		k.suppressed++
		return 0, false
	}
	k.lines++
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

func (l *Log) write(ctx context.Context) {
	defer close(l.done)
	var batch []logLine
	var reported uint64
	for {
		var ok bool
		batch, ok = l.lines.Wait(ctx, batch[:0])
		for _, line := range batch {
			dropped := l.lines.Dropped()
			l.writeLine(line, dropped-reported)
			reported = dropped
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
	if line.suppressed > 0 {
		entry = entry.WithField("lines_left_out", line.suppressed)
	}
	entry.Info(line.part + ": " + line.event)
}

// Close writes the queued lines and stops the log.
func (l *Log) Close() error {
	l.cancel()
	<-l.done
	return nil
}
