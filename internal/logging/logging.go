// Package logging provides loggers that write each event as one line of key=value pairs (logfmt).
package logging

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/phuslu/log"
)

// New returns a logger of the given minimum level (debug, info, warn or error) that writes to out.
// Each line has the id of the instance in the field "instance".
func New(out io.Writer, level, instance string) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("instance", instance).Value(),
		Writer:  &log.ConsoleWriter{Formatter: format, Writer: out},
	}
}

// queueCapacity is the maximum number of lines that wait for a slow reader. A busy leader writes that
// many in a few seconds.
const queueCapacity = 8192

// NewAsync returns a logger that never blocks on a slow reader of out: while queueCapacity lines are
// waiting, new lines are dropped and counted. closeLog writes the waiting lines and stops the
// logger; lines logged after it are dropped.
func NewAsync(out io.Writer, level, instance string) (logger *log.Logger, closeLog func()) {
	q := &lineQueue{lines: make(chan []byte, queueCapacity), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	q.internal = New(out, "info", instance)
	go q.run()
	return New(q, level, instance), q.close
}

// lineQueue writes lines to out through a bounded queue.
type lineQueue struct {
	lines chan []byte
	out   io.Writer
	// internal logs the number of dropped lines, directly to out.
	internal *log.Logger
	dropped  atomic.Int64

	closing, done chan struct{}
}

// Write implements io.Writer. It never blocks; if the queue is full, it drops the line and counts it.
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
			q.forward(line)
		case <-q.closing:
			q.drain()
			return
		}
	}
}

// drain writes the lines that are in the queue.
func (q *lineQueue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.forward(line)
		default:
			return
		}
	}
}

// forward writes a line to out, after a line with the number of lines dropped since the last call. Lines
// that are dropped after the last call are not reported.
func (q *lineQueue) forward(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		q.internal.Warn().Int64("lines", n).Msg("log lines dropped")
	}
	// An error is ignored because there is no other output to report it on.
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

// format writes an entry as logfmt with the message under the key "msg". The formatter of the logging
// library is not used because it writes the message without a key.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	writePair(&line, "time", args.Time)
	writePair(&line, "level", args.Level)
	if args.Message != "" {
		writePair(&line, "msg", args.Message)
	}
	for _, kv := range args.KeyValues {
		writePair(&line, kv.Key, kv.Value)
	}
	// Replace the last space with a line end.
	line.Truncate(line.Len() - 1)
	line.WriteByte('\n')
	return out.Write(line.Bytes())
}

func writePair(line *bytes.Buffer, key, value string) {
	line.WriteString(key)
	line.WriteByte('=')
	if needsQuotes(value) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
	line.WriteByte(' ')
}

// needsQuotes reports whether a value must be quoted in logfmt.
func needsQuotes(value string) bool {
	special := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
	return value == "" || strings.ContainsFunc(value, special)
}
