package server

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/spool"
	"cinderroad/internal/dispatcher/telemetry"
)

// figuresMessage is what one process tells the next of what it has counted, as JSON.
type figuresMessage struct {
	All     bool                       `json:"all"` // the first message: totals, and what goes with them; else what was counted since the last
	Counts  map[string]float64         `json:"counts"`
	Spans   telemetry.Latencies        `json:"spans,omitempty"`
	Held    []telemetry.SlotAssignment `json:"held,omitempty"`
	Last    int64                      `json:"last,omitempty"` // stamp of the last period
	Series  []telemetry.Series         `json:"series,omitempty"`
	Periods []undeliveredPeriod        `json:"periods,omitempty"`
}

// undeliveredPeriod is a period that some receiver has not got.
type undeliveredPeriod struct {
	Stamp int64   `json:"stamp"`
	Every float64 `json:"every"`
	Body  []byte  `json:"body"`
}

// handOver makes the next process the one writer: it gets the totals, and from then on what is counted here.
func (r *reporting) handOver(l *handover.Link) {
	if !r.delivers() {
		return
	}
	r.feed.Stop()
	r.successor, r.totalsSent = l, false
	s := r.spool
	r.spool = nil
	r.feed.SetSpool(nil)
	go func() {
		if s != nil {
			s.Close()
		}
		r.p.loop.Post(func() {
			if r.successor == l {
				r.sendTotals(s != nil)
			}
		})
	}()
}

// sendTotals sends the totals, and the periods that no disk holds, to the next process.
func (r *reporting) sendTotals(onDisk bool) {
	t := figuresMessage{All: true, Counts: r.set.Totals(), Held: r.set.SlotAssignments(), Last: r.feed.LastTimestamp()}
	_, t.Spans = r.set.TakeDelta()
	if !onDisk {
		t.Series = r.set.Table().From(0)
		periods, size := r.feed.Ring().Periods(), 0
		first := len(periods)
		for ; first > 0; first-- {
			if size += len(periods[first-1].EncodedValues); size > mostHandoverBytes || periods[first-1].Table != r.set.Table() {
				break
			}
		}
		for _, p := range periods[first:] {
			t.Periods = append(t.Periods, undeliveredPeriod{p.Timestamp, p.Interval, p.EncodedValues})
		}
	}
	r.send(t)
	r.totalsSent = true
	r.sendDelta()
}

func (r *reporting) send(t figuresMessage) {
	if err := r.successor.Send(handover.Metrics, t); err != nil {
		r.p.log.Error("telemetry: totals not handed on", zap.Error(err))
	}
}

// sendDelta tells the next process what was counted since the last message.
func (r *reporting) sendDelta() {
	if r.deltaTimer.Stop(); r.successor == nil || !r.totalsSent {
		return
	}
	if counts, spans := r.set.TakeDelta(); len(counts) > 0 || len(spans) > 0 {
		r.send(figuresMessage{Counts: counts, Spans: spans})
	}
	r.deltaTimer = r.p.loop.At(r.p.loop.Now()+deltaInterval, r.sendDelta)
}

// handedOver sends the last of it before this process ends; true once it is sent.
func (r *reporting) handedOver() bool {
	if r == nil || r.successor == nil {
		return true
	}
	if r.totalsSent {
		r.sendDelta()
	}
	return r.totalsSent
}

// resume is the one writer again: the next process has gone.
func (r *reporting) resume() {
	if r == nil || r.successor == nil {
		return
	}
	r.successor = nil
	r.deltaTimer.Stop()
	if r.file.Telemetry.SpoolDir == "" {
		r.feed.Start()
		return
	}
	r.open(func(*spool.Recovered) {})
}

// awaitPredecessor waits for the totals of the process before this one, if it has any.
func (r *reporting) awaitPredecessor(figures bool) {
	if r == nil {
		return
	}
	if r.awaitsTotals = figures && r.delivers(); !r.awaitsTotals {
		r.begin()
	}
}

// predecessorLost goes on alone: the process before this one has gone, perhaps without its totals.
func (r *reporting) predecessorLost() {
	if r != nil && r.awaitsTotals {
		r.awaitsTotals = false
		r.begin()
	}
}

// receive takes what the process before this one tells.
func (r *reporting) receive(body []byte) error {
	var t figuresMessage
	if err := json.Unmarshal(body, &t); err != nil {
		return fmt.Errorf("program: figures: %w", err)
	}
	if !r.delivers() {
		return errors.New("program: figures that nobody wants")
	}
	if t.All != r.awaitsTotals {
		return errors.New("program: figures out of turn")
	}
	r.set.AddTotals(t.Counts)
	r.set.MergeLatencies(t.Spans)
	if !t.All {
		return nil
	}
	r.awaitsTotals = false
	r.set.RestoreSlots(t.Held)
	start := func(found *spool.Recovered) {
		table := &telemetry.SeriesTable{}
		table.Append(t.Series...)
		for _, h := range t.Periods {
			found.Periods = append(found.Periods, &telemetry.Period{Timestamp: h.Stamp, Interval: h.Every, Table: table, EncodedValues: h.Body})
		}
		found.Totals = nil // they are in what was told, and some more
		r.feed.Restore(found)
		r.feed.AdvanceTimestamp(t.Last)
	}
	if r.file.Telemetry.SpoolDir == "" {
		start(&spool.Recovered{})
		r.feed.Start()
		return nil
	}
	r.open(start)
	return nil
}
