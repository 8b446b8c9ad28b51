// Package takeover decides when a new leader knows the engines well enough to plan the
// layout. It reads no clock and uses no network.
package takeover

import "time"

// MaxViewAge is the age up to which the view of a previous leader is current. The leader
// sends several updates in this time, and an engine that started since then has had no time
// to load layers.
const MaxViewAge = time.Second

// Engine is one process of an engine.
type Engine struct {
	ID          string
	StartUnixMs int64
}

// Survey tracks which of the engines that a new leader watched before it led have been polled
// by it. The zero value belongs to a leader that inherited nothing and is never complete. It
// is not safe for concurrent use.
type Survey struct {
	current bool
	pending map[Engine]bool
}

// NewSurvey returns the survey of a leader whose watch was viewAge old when it began to lead.
// complete reports whether the watch had covered the whole fleet. Without engines, or with an
// incomplete or older watch, the survey never completes.
func NewSurvey(viewAge time.Duration, complete bool, engines []Engine) *Survey {
	s := &Survey{current: complete && viewAge <= MaxViewAge && len(engines) > 0, pending: make(map[Engine]bool, len(engines))}
	for _, e := range engines {
		s.pending[e] = true
	}
	return s
}

// RecordPoll records a poll of an engine that was answered or has failed.
func (s *Survey) RecordPoll(e Engine) { delete(s.pending, e) }

// Retain drops the engines for which known returns false. They have left, or another process
// has taken their place, so that no poll of them will end.
func (s *Survey) Retain(known func(Engine) bool) {
	for e := range s.pending {
		if !known(e) {
			delete(s.pending, e)
		}
	}
}

// Complete reports whether every inherited engine has been polled and the watch was current.
func (s *Survey) Complete() bool { return s.current && len(s.pending) == 0 }
