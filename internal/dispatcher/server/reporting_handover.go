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

// metricsMessage tells the successor, as JSON, what this process has counted.
type metricsMessage struct {
	Complete      bool                       `json:"all"` // the first message, with totals; later ones have what was counted since
	Counts        map[string]float64         `json:"counts"`
	Latencies     telemetry.Latencies        `json:"spans,omitempty"`
	Slots         []telemetry.SlotAssignment `json:"held,omitempty"`
	LastTimestamp int64                      `json:"last,omitempty"` // time stamp of the last closed period
	Series        []telemetry.Series         `json:"series,omitempty"`
	Periods       []undeliveredPeriod        `json:"periods,omitempty"`
}

// undeliveredPeriod is a closed period that some receiver has not accepted.
type undeliveredPeriod struct {
	Timestamp     int64   `json:"stamp"`
	Interval      float64 `json:"every"`
	EncodedValues []byte  `json:"body"`
}

// handOverTo makes the successor the only process that reports: it gets the totals, and from then on what is counted here. The
// spool is closed first, since one process at a time may write it.
func (r *reporting) handOverTo(successor *handover.Link) {
	if !r.delivers() {
		return
	}
	r.exporter.Stop()
	r.successor = successor
	r.totalsSent = false
	closing := r.spool
	r.spool = nil
	r.exporter.SetSpool(nil)
	go func() {
		if closing != nil {
			closing.Close()
		}
		r.server.loop.Post(func() {
			if r.successor == successor {
				r.sendTotals(closing != nil)
			}
		})
	}()
}

// sendTotals sends the successor the totals and, unless the spool has them, the undelivered periods, the newest ones if all
// are too many.
func (r *reporting) sendTotals(onDisk bool) {
	message := metricsMessage{
		Complete:      true,
		Counts:        r.metrics.Totals(),
		Slots:         r.metrics.SlotAssignments(),
		LastTimestamp: r.exporter.LastTimestamp(),
	}
	_, message.Latencies = r.metrics.TakeDelta()
	if !onDisk {
		message.Series = r.metrics.Table().From(0)
		message.Periods = r.undeliveredPeriods()
	}
	r.send(message)
	r.totalsSent = true
	r.sendDelta()
}

// undeliveredPeriods returns the newest periods that some receiver has not accepted, up to maxHandoverBytes. They all have
// the present table of series, which goes with them.
func (r *reporting) undeliveredPeriods() (newest []undeliveredPeriod) {
	periods := r.exporter.Ring().Periods()
	first := len(periods)
	size := 0
	for ; first > 0; first-- {
		period := periods[first-1]
		size += len(period.EncodedValues)
		if size > maxHandoverBytes || period.Table != r.metrics.Table() {
			break
		}
	}
	for _, period := range periods[first:] {
		newest = append(newest, undeliveredPeriod{
			Timestamp:     period.Timestamp,
			Interval:      period.Interval,
			EncodedValues: period.EncodedValues,
		})
	}
	return newest
}

// send sends a message to the successor. A failure is logged: the link reports its own end.
func (r *reporting) send(message metricsMessage) {
	if err := r.successor.Send(handover.Metrics, message); err != nil {
		r.server.log.Error("telemetry: failed to send totals to the new process", zap.Error(err))
	}
}

// sendDelta sends the successor what was counted since the last message, and again every deltaInterval.
func (r *reporting) sendDelta() {
	r.deltaTimer.Stop()
	if r.successor == nil || !r.totalsSent {
		return
	}
	if counts, latencies := r.metrics.TakeDelta(); len(counts) > 0 || len(latencies) > 0 {
		r.send(metricsMessage{Counts: counts, Latencies: latencies})
	}
	r.deltaTimer = r.server.loop.At(r.server.loop.Now()+deltaInterval, r.sendDelta)
}

// handedOver sends what was counted last, and reports whether the successor has been sent everything.
func (r *reporting) handedOver() bool {
	if r == nil || r.successor == nil {
		return true
	}
	if r.totalsSent {
		r.sendDelta()
	}
	return r.totalsSent
}

// resume reports by itself again, when the successor is lost.
func (r *reporting) resume() {
	if r == nil || r.successor == nil {
		return
	}
	r.successor = nil
	r.deltaTimer.Stop()
	if r.operatorConfig.Telemetry.SpoolDir == "" {
		r.exporter.Start()
		return
	}
	r.openSpool(func(*spool.Recovered) {})
}

// awaitPredecessor starts once the predecessor's totals have arrived, or at once if it sends none.
func (r *reporting) awaitPredecessor(sendsTotals bool) {
	if r == nil {
		return
	}
	r.awaitsTotals = sendsTotals && r.delivers()
	if !r.awaitsTotals {
		r.start()
	}
}

// predecessorLost starts without the totals of a predecessor that was lost before it sent them.
func (r *reporting) predecessorLost() {
	if r != nil && r.awaitsTotals {
		r.awaitsTotals = false
		r.start()
	}
}

// receiveMetrics adds what the predecessor has counted. The first message, which has its totals, starts the reporting.
func (r *reporting) receiveMetrics(body []byte) error {
	var message metricsMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return fmt.Errorf("upgrade: metrics of the previous process: %w", err)
	}
	if !r.delivers() {
		return errors.New("upgrade: metrics of the previous process, but none are reported here")
	}
	if message.Complete != r.awaitsTotals {
		return errors.New("upgrade: metrics of the previous process: message out of sequence")
	}
	r.metrics.AddTotals(message.Counts)
	r.metrics.MergeLatencies(message.Latencies)
	if !message.Complete {
		return nil
	}
	r.awaitsTotals = false
	r.metrics.RestoreSlots(message.Slots)
	start := func(found *spool.Recovered) {
		table := &telemetry.SeriesTable{}
		table.Append(message.Series...)
		for _, period := range message.Periods {
			found.Periods = append(found.Periods, &telemetry.Period{
				Timestamp:     period.Timestamp,
				Interval:      period.Interval,
				Table:         table,
				EncodedValues: period.EncodedValues,
			})
		}
		found.Totals = nil // the message's are newer and contain them
		r.exporter.Restore(found)
		r.exporter.AdvanceTimestamp(message.LastTimestamp)
	}
	if r.operatorConfig.Telemetry.SpoolDir == "" {
		start(&spool.Recovered{})
		r.exporter.Start()
		return nil
	}
	r.openSpool(start)
	return nil
}
