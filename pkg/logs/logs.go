// Package logs provides structured logging. The messages of each component of a
// process start with the name of the component.
package logs

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Logger writes the log messages of one component of a process.
type Logger struct {
	base   zerolog.Logger
	prefix string
}

// Field adds one key and its value to a log line.
type Field func(*zerolog.Event)

// New returns the root logger of a process, which adds the role and the host to
// every line. level is the name of a zerolog level.
func New(w io.Writer, level, role, host string) (Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return Nop(), fault.Wrap(err, fault.Invalid, "log level %q", level).WithField("log.level")
	}
	base := zerolog.New(w).Level(l).With().Timestamp().Str("role", role).Str("host", host).Logger()
	return Logger{base: base}, nil
}

// Nop returns a logger that discards all messages.
func Nop() Logger { return Logger{base: zerolog.Nop()} }

// Component returns a logger whose messages all start with name and a colon.
func (l Logger) Component(name string) Logger { return Logger{base: l.base, prefix: name + ": "} }

// Debug logs at debug level.
func (l Logger) Debug(msg string, fields ...Field) { l.write(l.base.Debug(), msg, fields) }

// Info logs at info level.
func (l Logger) Info(msg string, fields ...Field) { l.write(l.base.Info(), msg, fields) }

// Warn logs at warn level.
func (l Logger) Warn(msg string, fields ...Field) { l.write(l.base.Warn(), msg, fields) }

// Error logs at error level.
func (l Logger) Error(msg string, fields ...Field) { l.write(l.base.Error(), msg, fields) }

func (l Logger) write(e *zerolog.Event, msg string, fields []Field) {
	if e == nil {
		return
	}
	for _, f := range fields {
		f(e)
	}
	e.Msg(l.prefix + msg)
}

// Str returns a string field.
func Str(key, value string) Field { return func(e *zerolog.Event) { e.Str(key, value) } }

// Strs returns a field that holds a list of strings.
func Strs(key string, values []string) Field { return func(e *zerolog.Event) { e.Strs(key, values) } }

// Bool returns a boolean field.
func Bool(key string, value bool) Field { return func(e *zerolog.Event) { e.Bool(key, value) } }

// Int returns an integer field.
func Int(key string, value int) Field { return func(e *zerolog.Event) { e.Int(key, value) } }

// Uint returns an unsigned integer field.
func Uint(key string, value uint64) Field { return func(e *zerolog.Event) { e.Uint64(key, value) } }

// Float returns a floating-point field.
func Float(key string, value float64) Field { return func(e *zerolog.Event) { e.Float64(key, value) } }

// Dur returns a duration field.
func Dur(key string, value time.Duration) Field { return func(e *zerolog.Event) { e.Dur(key, value) } }

// Err returns the fields "error" and "kind", which hold err and its fault kind.
func Err(err error) Field {
	return func(e *zerolog.Event) { e.Str("kind", string(fault.KindOf(err))).Err(err) }
}
