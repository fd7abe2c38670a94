// Package logging makes loggers that write one line of key=value pairs for each event.
package logging

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/phuslu/log"
)

// New returns a logger of the given level (debug, info, warn or error) that writes to out.
// Each line carries the id of the instance.
func New(out io.Writer, level, instance string) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("instance", instance).Value(),
		Writer:  &log.ConsoleWriter{Formatter: format, Writer: out},
	}
}

// pendingLines is how many lines may wait for a slow reader, a few seconds of a busy leader.
const pendingLines = 8192

// NewAsync returns a logger whose lines never wait for their reader: what it does not take in
// time is dropped and counted. Close writes the lines that wait; later lines are dropped.
func NewAsync(out io.Writer, level, instance string) (logger *log.Logger, closeLog func()) {
	q := &lineQueue{lines: make(chan []byte, pendingLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	q.own = New(out, "info", instance)
	go q.run()
	return New(q, level, instance), q.close
}

// lineQueue passes lines to their reader through a bounded queue.
type lineQueue struct {
	lines chan []byte
	out   io.Writer
	// own writes lines about the queue itself.
	own     *log.Logger
	dropped atomic.Int64

	closing, done chan struct{}
}

// Write implements io.Writer. It never waits.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.pass(line)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (q *lineQueue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.pass(line)
		default:
			return
		}
	}
}

func (q *lineQueue) pass(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		q.own.Warn().Int64("lines", n).Msg("log lines dropped")
	}
	// Nobody can be told if this fails.
	_, _ = q.out.Write(line)
}

func (q *lineQueue) close() {
	close(q.closing)
	<-q.done
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// format writes an entry as logfmt. The library's own logfmt formatter writes the message
// without a key.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	pair(&line, "time", args.Time)
	pair(&line, "level", args.Level)
	if args.Message != "" {
		pair(&line, "msg", args.Message)
	}
	for _, kv := range args.KeyValues {
		pair(&line, kv.Key, kv.Value)
	}
	line.Truncate(line.Len() - 1)
	line.WriteByte('\n')
	return out.Write(line.Bytes())
}

func pair(line *bytes.Buffer, key, value string) {
	line.WriteString(key)
	line.WriteByte('=')
	if needsQuotes(value) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
	line.WriteByte(' ')
}

func needsQuotes(value string) bool {
	special := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
	return value == "" || strings.ContainsFunc(value, special)
}
