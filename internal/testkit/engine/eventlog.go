package engine

import "time"

// eventLog holds the events of a server that the caller has not taken yet, in order of time.
type eventLog struct {
	pending []Event
	taken   []Event // by the last call of take; its memory is reused
}

func (l *eventLog) add(at time.Duration, kind Kind, t *Task, index int) {
	l.pending = append(l.pending, Event{At: at, Kind: kind, Task: t, Index: index})
}

// addLost ends tasks that the server loses when it stops.
func (l *eventLog) addLost(at time.Duration, tasks []*Task) {
	for _, t := range tasks {
		t.Ended = true
		l.add(at, Lost, t, 0)
	}
}

// first returns the time of the first event; ok is false if there is none.
func (l *eventLog) first() (at time.Duration, ok bool) {
	if len(l.pending) == 0 {
		return 0, false
	}
	return l.pending[0].At, true
}

// take returns and removes the events. The slice is valid until the next call.
func (l *eventLog) take() []Event {
	l.pending, l.taken = l.taken[:0], l.pending
	return l.taken
}
