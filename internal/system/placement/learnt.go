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

// learntVersion is the first byte of the encoding: version, then the services' speeds, then the runners' ceilings.
const learntVersion = 1

// mostLearnt bounds what is taken from an encoding.
const mostLearnt = 1 << 16

// errLearnt is returned for an encoding that was not made by Learnt. The placer then starts from nothing learnt.
var errLearnt = errors.New("placement: learnt: the encoding is cut or not of this version; start without it")

type learntRunner struct {
	size     float64
	ceilings capacity.Limits
}

// Snapshot encodes what should outlive a restart: ceilings by runner, speeds by service.
func (p *Placer) Snapshot() []byte {
	b := []byte{learntVersion}
	b = binary.AppendUvarint(b, uint64(len(p.services)))
	for _, name := range sortedKeys(p.services) {
		b = appendString(b, name)
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(p.services[name].speed)))
	}
	b = binary.AppendUvarint(b, uint64(len(p.runners)))
	for _, id := range sortedKeys(p.runners) {
		w := p.runners[id]
		b = appendString(b, id)
		for _, v := range []float64{w.size, w.ceilings.Load, w.ceilings.Utilization} {
			b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
		}
	}
	return b
}

// Restore takes what another Placer has learnt, all or nothing. What it says of a runner counts once the list names that
// runner with the same number of slots.
func (p *Placer) Restore(now time.Duration, b []byte) error {
	p.begin(now)
	speeds, runners, err := decodeLearnt(b)
	if err != nil {
		return err
	}
	p.speeds, p.recalled = speeds, runners
	for name, s := range p.services {
		if s.speed == 0 {
			s.speed = speeds[name]
		}
	}
	for _, w := range p.runners {
		p.recall(w)
	}
	return nil
}

// recall gives a runner that is new to the set what is known of it.
func (p *Placer) recall(w *runner) {
	l, ok := p.recalled[w.ID]
	if !ok || l.size != w.size {
		return
	}
	delete(p.recalled, w.ID)
	w.ceilings = l.ceilings
}

func decodeLearnt(b []byte) (map[string]float64, map[string]learntRunner, error) {
	if len(b) == 0 || b[0] != learntVersion {
		return nil, nil, errLearnt
	}
	d := learntReader{rest: b[1:]}
	speeds := map[string]float64{}
	for range d.count() {
		speeds[d.text()] = d.number()
	}
	runners := map[string]learntRunner{}
	for range d.count() {
		id := d.text()
		l := learntRunner{size: d.number()}
		l.ceilings.Load, l.ceilings.Utilization = d.number(), d.number()
		if !d.bad && (l.size <= 0 || l.ceilings.Load <= 0 || l.ceilings.Utilization <= 0) {
			return nil, nil, fmt.Errorf("%w: runner %q", errLearnt, id)
		}
		runners[id] = l
	}
	if d.bad || len(d.rest) > 0 {
		return nil, nil, errLearnt
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
	if d.bad || used <= 0 || n > mostLearnt {
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
