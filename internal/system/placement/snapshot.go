package placement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"cinderroad/internal/shared/capacity"
)

// snapshotVersion is the first byte of a snapshot. After it come the services, each a name and its prefill speed, and the
// runners, each an id, its slots and its two limits; counts are varints, numbers are float32.
const snapshotVersion = 1

// maxSnapshotCount bounds the elements of a list and the bytes of a name that Restore accepts.
const maxSnapshotCount = 1 << 16

// errSnapshot is returned for an encoding that Snapshot did not make. The Placer then keeps what it has.
var errSnapshot = errors.New("placement: learnt: the encoding is cut or not of this version; start without it")

// runnerSnapshot is what a snapshot holds of a runner.
type runnerSnapshot struct {
	slots  float64
	limits capacity.Limits
}

// Snapshot encodes what should outlive a restart: the limits of each runner, the prefill speed of each service.
func (p *Placer) Snapshot() []byte {
	b := []byte{snapshotVersion}
	b = binary.AppendUvarint(b, uint64(len(p.services)))
	for _, name := range sortedKeys(p.services) {
		b = appendString(b, name)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(p.services[name].prefillSpeed)))
	}
	b = binary.AppendUvarint(b, uint64(len(p.runners)))
	for _, id := range sortedKeys(p.runners) {
		runner := p.runners[id]
		b = appendString(b, id)
		for _, v := range []float64{runner.slots, runner.limits.Load, runner.limits.Utilization} {
			b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
		}
	}
	return b
}

// Restore takes over the snapshot of another Placer, all or nothing. Limits of a runner apply once SetRunners names that
// runner with the same number of slots.
func (p *Placer) Restore(now time.Duration, b []byte) error {
	p.recordCall(now)
	speeds, runners, err := decodeSnapshot(b)
	if err != nil {
		return err
	}
	p.restoredSpeeds, p.restored = speeds, runners
	for name, service := range p.services {
		if service.prefillSpeed == 0 {
			service.prefillSpeed = speeds[name]
		}
	}
	for _, runner := range p.runners {
		p.restoreRunner(runner)
	}
	return nil
}

// restoreRunner applies a snapshot to a runner that is new to the set.
func (p *Placer) restoreRunner(runner *runnerState) {
	l, ok := p.restored[runner.ID]
	if !ok || l.slots != runner.slots {
		return
	}
	delete(p.restored, runner.ID)
	runner.limits = l.limits
}

// decodeSnapshot returns the prefill speeds by service and the runners by id.
func decodeSnapshot(b []byte) (map[string]float64, map[string]runnerSnapshot, error) {
	if len(b) == 0 || b[0] != snapshotVersion {
		return nil, nil, errSnapshot
	}
	d := learntReader{rest: b[1:]}
	speeds := map[string]float64{}
	for range d.count() {
		speeds[d.text()] = d.number()
	}
	runners := map[string]runnerSnapshot{}
	for range d.count() {
		id := d.text()
		l := runnerSnapshot{slots: d.number()}
		l.limits.Load, l.limits.Utilization = d.number(), d.number()
		if !d.bad && (l.slots <= 0 || l.limits.Load <= 0 || l.limits.Utilization <= 0) {
			return nil, nil, fmt.Errorf("%w: runner %q", errSnapshot, id)
		}
		runners[id] = l
	}
	if d.bad || len(d.rest) > 0 {
		return nil, nil, errSnapshot
	}
	return speeds, runners, nil
}

// learntReader reads an encoding; once it is bad it reads nothing more.
type learntReader struct {
	rest []byte
	bad  bool
}

func (d *learntReader) count() uint64 {
	n, used := binary.Uvarint(d.rest)
	if d.bad || used <= 0 || n > maxSnapshotCount {
		d.bad = true
		return 0
	}
	d.rest = d.rest[used:]
	return n
}

func (d *learntReader) text() string {
	n := d.count()
	if d.bad || n > uint64(len(d.rest)) {
		d.bad = true
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

// number reads a value that is not below 0.
func (d *learntReader) number() float64 {
	if d.bad || len(d.rest) < 4 {
		d.bad = true
		return 0
	}
	v := float64(math.Float32frombits(binary.LittleEndian.Uint32(d.rest)))
	d.rest = d.rest[4:]
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		d.bad = true
	}
	return v
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
