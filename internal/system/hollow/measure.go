package hollow

import (
	"context"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of a datagram on the loopback interface: Ethernet, IPv4, UDP.
const datagramHeader = 14 + 20 + 8

// Load is what happens while a system is measured.
type Load struct {
	Name             string
	ConfigurationsPS float64 // changes of one route, a second
	RunnersPS        float64 // runners whose state changes, a second
}

// Loads are the ones that are measured.
func Loads() []Load {
	return []Load{
		{Name: "idle"},
		{Name: "configuration 2/s", ConfigurationsPS: 2},
		{Name: "runners 10/s", RunnersPS: 10},
	}
}

// Measurement is what a system of a size took under a load.
type Measurement struct {
	Agents int
	Load   Load
	Window time.Duration

	AgentProcessor   float64   // share of a core, each
	ControlProcessor []float64 // share of a core, by control machine
	ControlAnonymous []int64   // bytes, by control machine
	ControlResident  []int64   // bytes, by control machine
	AgentHeap        float64   // bytes of heap and stacks, each
	Datagrams        float64   // that an agent sends a second
	DatagramBytes    float64   // that an agent sends a second, without headers
	Loopback         float64   // bytes a second that all carried together; headers included
	Platform         float64   // bytes a second of the platform's list, all together
	Streams          float64   // bytes a second of other TCP, all together: feed and agreement; headers included
}

// snapshot is what was taken up to a moment.
type snapshot struct {
	at        time.Time
	self      Usage
	controls  []Usage
	lists     int // that the platform told
	datagrams uint64
	bytes     uint64
	loopback  int64
}

func (s *System) snapshot() (*snapshot, error) {
	out := &snapshot{at: time.Now(), lists: s.platform.Stats().Calls}
	var err error
	if out.self, err = usageOf(os.Getpid()); err != nil {
		return nil, err
	}
	for _, command := range s.controls {
		usage, err := usageOf(command.Process.Pid)
		if err != nil {
			return nil, err
		}
		out.controls = append(out.controls, usage)
	}
	for _, a := range s.agents {
		stats := a.Gossip()
		out.datagrams += stats.Sent
		out.bytes += stats.BytesSent
	}
	out.loopback, err = loopbackBytes()
	return out, err
}

// Measure measures the system under a load.
func (s *System) Measure(ctx context.Context, load Load, window time.Duration) (*Measurement, error) {
	before, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	if err := s.drive(ctx, load, window); err != nil {
		return nil, err
	}
	after, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return s.compare(load, before, after), nil
}

// drive has happen what the load says, for a while.
func (s *System) drive(ctx context.Context, load Load, window time.Duration) error {
	const steps = 10 // a second
	ticker := time.NewTicker(time.Second / steps)
	defer ticker.Stop()
	end := time.NewTimer(window)
	defer end.Stop()
	var configurations, runners float64
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "load")
		case <-end.C:
			return nil
		case <-ticker.C:
		}
		configurations += load.ConfigurationsPS / steps
		runners += load.RunnersPS / steps
		if configurations >= 1 {
			configurations--
			if err := s.ChangeConfiguration(ctx); err != nil {
				return err
			}
		}
		if runners >= 1 {
			s.ChangeRunners(int(runners))
			runners -= float64(int(runners))
		}
	}
}

func (s *System) compare(load Load, before, after *snapshot) *Measurement {
	window := after.at.Sub(before.at)
	seconds, agents := window.Seconds(), float64(max(1, len(s.agents)))
	m := &Measurement{Agents: len(s.agents), Load: load, Window: window}
	m.AgentProcessor = (after.self.Processor - before.self.Processor).Seconds() / seconds / agents
	for i := range after.controls {
		used := after.controls[i].Processor - before.controls[i].Processor
		m.ControlProcessor = append(m.ControlProcessor, used.Seconds()/seconds)
		m.ControlAnonymous = append(m.ControlAnonymous, after.controls[i].Anonymous)
		m.ControlResident = append(m.ControlResident, after.controls[i].Resident)
	}
	m.Datagrams = float64(after.datagrams-before.datagrams) / seconds / agents
	m.DatagramBytes = float64(after.bytes-before.bytes) / seconds / agents
	m.Loopback = float64(after.loopback-before.loopback) / seconds
	m.Platform = float64((after.lists-before.lists)*s.listBytes) / seconds
	members := agents + controlMachines // those of the control group are taken to send as much as agents
	m.Streams = m.Loopback - m.Platform - (m.DatagramBytes+m.Datagrams*datagramHeader)*members
	m.AgentHeap = heapInUse() / agents
	return m
}

// heapInUse is what this process has in heap and stacks after a collection.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
