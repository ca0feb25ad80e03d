// Package logfmt provides a zap core that writes each event as a line of key=value pairs: time, level, the logger's name if it
// has one and the message, then the fields in the order in which they were added.
//
// Times are in UTC with milliseconds, numbers of type float64 have six significant digits. Keys are written as they are, so
// they must be single words. A namespace (zap.Namespace) does not apply to the fields after it.
package logfmt

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	timeFormat        = "2006-01-02T15:04:05.000Z" // of times in UTC
	significantDigits = 6                          // of a float64
)

// New returns a logger that writes events of the level and above to w, one Write each. Its cores share a lock, so w
// need not be safe for concurrent use.
func New(w io.Writer, level zapcore.LevelEnabler) *zap.Logger {
	return zap.New(&core{LevelEnabler: level, sink: &sink{writer: w}})
}

// sink is the writer that all cores of a logger share.
type sink struct {
	mutex  sync.Mutex
	writer io.Writer
}

type core struct {
	zapcore.LevelEnabler
	sink          *sink
	contextFields []zapcore.Field
}

// With returns a core that adds the fields to each event.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{LevelEnabler: c.LevelEnabler, sink: c.sink, contextFields: slices.Concat(c.contextFields, fields)}
}

// Check adds the core to an event if its level is enabled.
func (c *core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes an event.
func (c *core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line := make([]byte, 0, 256)
	line = append(line, "time="...)
	line = entry.Time.UTC().AppendFormat(line, timeFormat)
	line = append(line, " level="...)
	line = append(line, entry.Level.String()...)
	if entry.LoggerName != "" {
		line = appendField(line, "logger", entry.LoggerName)
	}
	line = appendField(line, "msg", entry.Message)
	line = appendFields(line, c.contextFields)
	line = appendFields(line, fields)
	line = append(line, '\n')
	c.sink.mutex.Lock()
	defer c.sink.mutex.Unlock()
	_, err := c.sink.writer.Write(line)
	return err
}

// Sync does nothing: lines are written at once.
func (c *core) Sync() error { return nil }

// appendFields appends the pairs of the fields. One field may add several pairs, such as those of an object that is inlined
// (zap.Inline); these are in the order of their keys.
func appendFields(line []byte, fields []zapcore.Field) []byte {
	for i := range fields {
		values := zapcore.NewMapObjectEncoder()
		fields[i].AddTo(values)
		for _, key := range sortedKeys(values.Fields) {
			line = appendField(line, key, formatValue(values.Fields[key]))
		}
	}
	return line
}

func sortedKeys(fields map[string]any) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case time.Duration:
		return v.String()
	case time.Time:
		return v.UTC().Format(timeFormat)
	case float64:
		return strconv.FormatFloat(v, 'g', significantDigits, 64)
	}
	return fmt.Sprint(value)
}

// appendField appends a pair. A value that would not read as one word is quoted.
func appendField(line []byte, key, value string) []byte {
	line = append(line, ' ')
	line = append(line, key...)
	line = append(line, '=')
	if value == "" || strings.ContainsFunc(value, needsQuoting) {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}

// needsQuoting reports whether a value that contains the character is quoted: white space, control characters of ASCII, what
// has a meaning in a line, and bytes that are no valid UTF-8.
func needsQuoting(r rune) bool {
	const del = 0x7f
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r == del || r == utf8.RuneError
}
