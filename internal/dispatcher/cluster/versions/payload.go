package versions

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"cinderroad/internal/shared/membership"
)

// payload is what goes along with a member's messages.
type payload struct {
	Version      Version `cbor:"1,keyasint"`
	Request      bool    `cbor:"2,keyasint,omitempty"` // requests the facts that are newer than Version
	Facts        []Fact  `cbor:"3,keyasint,omitempty"`
	CompleteUpTo int64   `cbor:"4,keyasint,omitempty"` // newest revision of which the sender knows all facts
	EpochAge     float32 `cbor:"6,keyasint,omitempty"` // seconds since the epoch began; 0: not known
	FactCount    int     `cbor:"5,keyasint,omitempty"` // of a reply: number of facts in all its pages, plus one; 0: no reply

	UpdateStamp  uint64  `cbor:"7,keyasint,omitempty"` // stamp of the newest update of discovery, in tenths of a second of Unix time
	DirectUpdate bool    `cbor:"8,keyasint,omitempty"` // the update came from the sender's own discovery
	Orders       []Order `cbor:"10,keyasint,omitempty"`
	Clock        float64 `cbor:"9,keyasint,omitempty"`  // of the sender, Unix time; not in all payloads
	OrdersDigest uint64  `cbor:"11,keyasint,omitempty"` // digest of the orders that the sender has
}

// newPayload returns a payload without facts and orders.
func (t *Table) newPayload(now float64) *payload {
	return &payload{
		Version:      t.version,
		CompleteUpTo: t.completeUpTo(),
		EpochAge:     t.epochAge(now),
		UpdateStamp:  t.updateStamp,
		DirectUpdate: t.directUpdate && now <= t.lastDiscovery+discoveryTimeout,
		OrdersDigest: t.orders.digest,
	}
}

// factOverhead is the size of a fact in a payload beside its worker, in bytes, at most.
const factOverhead = 24

// fitFacts returns how many of the facts fit into room bytes.
func fitFacts(facts []Fact, room int) (n int) {
	for n < min(len(facts), maxFactsPerPayload) {
		room -= factOverhead + len(facts[n].Worker)
		if room < 0 {
			break
		}
		n++
	}
	return n
}

// replyRoom returns how many bytes facts and orders may take in a page of a reply.
func (t *Table) replyRoom() int {
	return maxReplySize - payloadOverhead - len(t.version.Source)
}

func (t *Table) encodePayload(msg *payload) []byte {
	out, err := cbor.Marshal(msg)
	if err != nil {
		return nil // numbers and strings: it cannot fail
	}
	t.Stats.FactsSent += uint64(len(msg.Facts))
	return out
}

var decMode = membership.StrictDecMode(5, 16)

// Bounds of the times in a payload, in seconds.
const (
	maxEpochAge = 1e9
	maxClock    = 1e11 // Unix time
)

func decodePayload(text []byte) (*payload, error) {
	msg := &payload{}
	if err := decMode.Unmarshal(text, msg); err != nil {
		return nil, fmt.Errorf("versions: %w", err)
	}
	if !msg.isPlausible() {
		return nil, errors.New("versions: a version that makes no sense")
	}
	for i := range msg.Facts {
		if !msg.Facts[i].isPlausible() {
			return nil, errors.New("versions: a fact that makes no sense")
		}
	}
	for i := range msg.Orders {
		if err := msg.Orders[i].validate(); err != nil {
			return nil, err
		}
	}
	return msg, nil
}

// isPlausible reports whether the version and the times are within bounds; NaN is not.
func (p *payload) isPlausible() bool {
	return len(p.Version.Source) <= maxSourceLength &&
		isRevision(p.Version.Revision) &&
		p.Version.Epoch <= maxRevision &&
		isRevision(p.CompleteUpTo) &&
		p.FactCount >= 0 &&
		p.EpochAge >= 0 && p.EpochAge < maxEpochAge &&
		p.Clock >= 0 && p.Clock < maxClock
}

// isPlausible reports whether all fields are within bounds.
func (f *Fact) isPlausible() bool {
	return f.Worker != "" && len(f.Worker) <= maxWorkerLength &&
		f.State < states &&
		isRevision(f.Revision) &&
		f.Start >= 0 && f.Start <= math.MaxInt64/2
}

func isRevision(revision int64) bool { return revision >= 0 && revision <= maxRevision }
