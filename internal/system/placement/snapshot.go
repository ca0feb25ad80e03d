package placement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"cinderroad/internal/shared/capacity"
	"cinderroad/internal/shared/codec"
)

// snapshotVersion is the first byte of a snapshot. After it come the services, each a name and its prefill speed, and the
// runners, each an id, its slots and its two limits; counts are varints, numbers are float32.
const snapshotVersion = 1

// maxSnapshotCount bounds the elements of a list and the bytes of a name that Restore accepts.
const maxSnapshotCount = 1 << 16

// errSnapshot is returned for an encoding that Snapshot did not make. The Placer's state is then unchanged.
var errSnapshot = errors.New("placement: snapshot: truncated, malformed or of another version; start without it")

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
		b = codec.AppendBytes(b, name)
		b = codec.AppendFloat32(b, float32(p.services[name].prefillSpeed))
	}
	b = binary.AppendUvarint(b, uint64(len(p.runners)))
	for _, id := range sortedKeys(p.runners) {
		runner := p.runners[id]
		b = codec.AppendBytes(b, id)
		for _, value := range []float64{runner.slots, runner.limits.Load, runner.limits.Utilization} {
			b = codec.AppendFloat32(b, float32(value))
		}
	}
	return b
}

// Restore takes over the snapshot of another Placer, all or nothing. Limits of a runner apply once SetRunners names that
// runner with the same number of slots.
func (p *Placer) Restore(now time.Duration, snapshot []byte) error {
	p.recordCall(now)
	speeds, runners, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	p.restoredSpeeds = speeds
	p.restored = runners
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
	restored, ok := p.restored[runner.ID]
	if !ok || restored.slots != runner.slots {
		return
	}
	delete(p.restored, runner.ID)
	runner.limits = restored.limits
}

// decodeSnapshot returns the prefill speeds by service and the runners by id.
func decodeSnapshot(snapshot []byte) (map[string]float64, map[string]runnerSnapshot, error) {
	reader := codec.NewReader(snapshot)
	if reader.Byte("version") != snapshotVersion {
		return nil, nil, errSnapshot
	}
	speeds := map[string]float64{}
	for range readCount(&reader, "services") {
		speeds[readName(&reader, "service")] = readNumber(&reader, "prefill speed")
	}
	runners := map[string]runnerSnapshot{}
	for range readCount(&reader, "runners") {
		id := readName(&reader, "runner")
		runner := runnerSnapshot{slots: readNumber(&reader, "slots")}
		runner.limits.Load = readNumber(&reader, "load limit")
		runner.limits.Utilization = readNumber(&reader, "utilization limit")
		if _, failed := reader.Malformed(); failed {
			break
		}
		if runner.slots <= 0 || runner.limits.Load <= 0 || runner.limits.Utilization <= 0 {
			return nil, nil, fmt.Errorf("%w: runner %q", errSnapshot, id)
		}
		runners[id] = runner
	}
	reader.ExpectEnd("end")
	if field, failed := reader.Malformed(); failed {
		return nil, nil, fmt.Errorf("%w: malformed %s at byte %d", errSnapshot, field, reader.Offset())
	}
	return speeds, runners, nil
}

// readCount reads the number of elements of a list, at most maxSnapshotCount.
func readCount(reader *codec.Reader, field string) int {
	count := reader.Count(field)
	if count > maxSnapshotCount {
		reader.Fail(field)
		return 0
	}
	return count
}

// readName reads a name of at most maxSnapshotCount bytes.
func readName(reader *codec.Reader, field string) string {
	name := reader.Bytes(field)
	if len(name) > maxSnapshotCount {
		reader.Fail(field)
		return ""
	}
	return string(name)
}

// readNumber reads a finite number that is not below 0.
func readNumber(reader *codec.Reader, field string) float64 {
	value := float64(reader.Float32(field))
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		reader.Fail(field)
		return 0
	}
	return value
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
