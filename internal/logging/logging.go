// Package logging makes loggers that write one line of key=value pairs for each event.
package logging

import (
	"bytes"
	"io"
	"strconv"
	"strings"

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
// time is dropped. Close writes the lines that wait.
func NewAsync(out io.Writer, level, instance string) (logger *log.Logger, closeLog func()) {
	logger = New(out, level, instance)
	async := &log.AsyncWriter{ChannelSize: pendingLines, DiscardOnFull: true, Writer: logger.Writer}
	logger.Writer = async
	return logger, func() {
		// The lines are lost with the process if this fails; nobody can be told.
		_ = async.Close()
	}
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
