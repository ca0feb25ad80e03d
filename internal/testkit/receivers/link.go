package receivers

import "time"

// Link is what one directed way does to what goes over it. The zero Link passes everything on at once.
type Link struct {
	LossRate      float64       // share of the datagrams that get lost
	Delay         time.Duration // that everything takes
	Jitter        time.Duration // and more, drawn evenly: datagrams may pass one another
	DuplicateRate float64       // share of the datagrams that come twice
	Blackhole     bool          // nothing gets over, and nobody is told: datagrams are lost, connections hang
	Resets        bool          // connections are reset, and new ones at once
	ReorderRate   float64       // share of the datagrams that wait for the next one to pass
}

// Log takes what a relay did, a line each; it may be called from several goroutines.
type Log func(line string)
