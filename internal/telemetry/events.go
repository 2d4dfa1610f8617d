// Package telemetry sets up logs, metrics and traces in the same way in every
// process.
//
// Log lines are numbered events. Each package declares its events with Define
// in package variables; docs/EVENTS.md lists them all.
package telemetry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is a kind of log line. Ranges of numbers: 100 process, 200
// configuration, 300 store and platform, 400 membership, 500 shard ownership,
// 600 tasks, 700 requests, 800 guards (runtime invariant checks), 900 wire.
type Event struct {
	Number int
	Level  logrus.Level
	// Message is the fixed text of the line. Details are in fields.
	Message string
	// Meaning explains to operators what happened and what to do.
	Meaning string
}

var registry = struct {
	sync.Mutex
	events map[int]Event
}{events: make(map[int]Event)}

// Define registers an event. It panics if the number is already defined, so that
// a duplicate in a package variable fails the start of the program.
func Define(number int, level logrus.Level, message, meaning string) Event {
	registry.Lock()
	defer registry.Unlock()
	if old, ok := registry.events[number]; ok {
		panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, old.Message, message))
	}
	e := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	registry.events[number] = e
	return e
}

// Events returns all defined events, ordered by number.
func Events() []Event {
	registry.Lock()
	defer registry.Unlock()
	all := make([]Event, 0, len(registry.events))
	for _, e := range registry.events {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Fields are the details of one log line.
type Fields = logrus.Fields

// Logger writes numbered events.
type Logger struct {
	entry *logrus.Entry
}

// NewLogger returns a logger that adds the given fields to every line.
func NewLogger(l *logrus.Logger, fields Fields) *Logger {
	return &Logger{entry: l.WithFields(fields)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return &Logger{entry: logrus.NewEntry(l)}
}

// With returns a logger that adds more fields to every line.
func (l *Logger) With(fields Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(fields)}
}

// Log writes one event. A non-nil err is added as the field "error".
func (l *Logger) Log(e Event, err error, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	entry := l.entry.WithField("event", e.Number)
	if len(fields) > 0 {
		entry = entry.WithFields(fields)
	}
	if err != nil {
		entry = entry.WithField("error", err.Error())
	}
	entry.Log(e.Level, e.Message)
}

// Enabled reports whether the log level includes the event.
func (l *Logger) Enabled(e Event) bool {
	return l.entry.Logger.IsLevelEnabled(e.Level)
}
