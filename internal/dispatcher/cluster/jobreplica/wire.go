package jobreplica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// FormatVersion is the number of the datagrams' form; 1 carried another agreement's messages.
const FormatVersion = 2

const (
	// MaxDatagramBytes is the size of a datagram at most.
	MaxDatagramBytes      = 1400
	datagramHeaderBytes   = 9    // checksum and format
	fragmentBytes         = 1200 // of a message in one datagram; the rest is names
	maxFragments          = 1 << 15
	maxPartialsPerSender  = 16   // messages that one sender may have half here
	maxRequestedFragments = 100  // pages asked for in one datagram
	maxPendingResends     = 256  // datagrams sent again in one turn
	requestAfterSeconds   = 0.1  // seconds without a page after which the missing ones are asked for
	retentionSeconds      = 30.0 // seconds that a half message, or one that may be asked for, is kept
)

// Why a datagram is dropped.
var (
	ErrOversized         = errors.New("copies: oversized")
	ErrMalformed         = errors.New("copies: broken")
	ErrUnsupportedFormat = errors.New("copies: of another format")
	ErrOtherCluster      = errors.New("copies: of another fleet")
)

// fragmentDecoder takes nothing but what seal makes.
var fragmentDecoder = membership.StrictDecMode(6, 32)

// fragment is a datagram's body.
type fragment struct {
	Cluster       string `cbor:"1,keyasint"`
	From          uint64 `cbor:"2,keyasint"`
	To            uint64 `cbor:"3,keyasint"`
	MessageNumber uint64 `cbor:"4,keyasint"` // of the message, counted by its sender
	Index         uint32 `cbor:"5,keyasint,omitempty"`
	Count         uint32 `cbor:"6,keyasint"`
	Data          []byte `cbor:"7,keyasint"`

	Requested []uint32 `cbor:"8,keyasint,omitempty"` // instead of a page: those of message N that its sender should send again
}

// Fragmenter cuts messages into datagrams and puts them together again, within bounds.
type Fragmenter struct {
	cluster           string
	self              uint64
	maxBytes          int // bytes that half messages may hold
	lastMessageNumber uint64
	now               float64
	partialBytes      int
	partials          map[uint64][]*partialMessage // by sender, the oldest first
	sent              []sentMessage                // messages of several pages that were sent lately, the oldest first
	sentBytes         int                          // of those
	resends           []Outgoing                   // datagrams to be sent again
}

type sentMessage struct {
	to, number uint64
	sentAt     float64
	bytes      int
	datagrams  [][]byte
}

type partialMessage struct {
	number         uint64
	startedAt      float64
	lastActivityAt float64 // of its last page, or of the last asking
	fragments      [][]byte
	missing        int
	bytes          int
}

// NewFragmenter is one for a life of a member. Half messages hold so many bytes at most.
func NewFragmenter(cluster string, self uint64, maxPartialBytes int) *Fragmenter {
	return &Fragmenter{cluster: cluster, self: self, maxBytes: maxPartialBytes, partials: map[uint64][]*partialMessage{}}
}

// Fragment cuts a message into datagrams.
func (f *Fragmenter) Fragment(message Outgoing) (datagrams [][]byte) {
	f.lastMessageNumber++
	count := max((len(message.Data)+fragmentBytes-1)/fragmentBytes, 1)
	for i := range count {
		datagrams = append(datagrams, encodeFragment(&fragment{Cluster: f.cluster, From: f.self, To: message.To, MessageNumber: f.lastMessageNumber, Index: uint32(i), Count: uint32(count),
			Data: message.Data[i*fragmentBytes : min((i+1)*fragmentBytes, len(message.Data))]}))
	}
	if count > 1 {
		f.sent = append(f.sent, sentMessage{message.To, f.lastMessageNumber, f.now, len(message.Data), datagrams})
		f.sentBytes += len(message.Data)
		for len(f.sent) > 1 && (f.sentBytes > f.maxBytes || f.now-f.sent[0].sentAt > retentionSeconds) {
			f.sentBytes -= f.sent[0].bytes
			f.sent = f.sent[1:]
		}
	}
	return datagrams
}

func encodeFragment(part *fragment) []byte {
	body := membership.MarshalDeterministic(part)
	datagram := append(make([]byte, datagramHeaderBytes-1, datagramHeaderBytes+len(body)), FormatVersion)
	datagram = append(datagram, body...)
	binary.LittleEndian.PutUint64(datagram, xxhash.Sum64(datagram[datagramHeaderBytes-1:]))
	return datagram
}

// Tick gives the datagrams that are due besides: pages that others have asked for, and what is asked for here. One that nobody
// completes is forgotten after a while.
func (f *Fragmenter) Tick(now float64) (outgoing []Outgoing) {
	f.now = max(f.now, now)
	outgoing, f.resends = f.resends, nil
	for _, from := range slices.Sorted(maps.Keys(f.partials)) {
		for _, partial := range slices.Clone(f.partials[from]) {
			switch {
			case f.now-partial.startedAt > retentionSeconds:
				f.remove(from, partial)
			case f.now-partial.lastActivityAt >= requestAfterSeconds:
				partial.lastActivityAt = f.now
				var requested []uint32
				for i, data := range partial.fragments {
					if data == nil && len(requested) < maxRequestedFragments {
						requested = append(requested, uint32(i))
					}
				}
				outgoing = append(outgoing, Outgoing{from, encodeFragment(&fragment{Cluster: f.cluster, From: f.self, To: from, MessageNumber: partial.number, Requested: requested})})
			}
		}
	}
	return outgoing
}

// resend sends pages again, to whom the message was meant for.
func (f *Fragmenter) resend(request *fragment) {
	for _, sent := range f.sent {
		if sent.number != request.MessageNumber || sent.to != request.From {
			continue
		}
		for _, i := range request.Requested {
			if int(i) < len(sent.datagrams) && len(f.resends) < maxPendingResends {
				f.resends = append(f.resends, Outgoing{sent.to, sent.datagrams[i]})
			}
		}
	}
}

// Reassemble takes a datagram; message is nil until its last page is there.
func (f *Fragmenter) Reassemble(datagram []byte) (message []byte, err error) {
	switch {
	case len(datagram) > MaxDatagramBytes:
		return nil, ErrOversized
	case len(datagram) < datagramHeaderBytes:
		return nil, ErrMalformed
	case binary.LittleEndian.Uint64(datagram) != xxhash.Sum64(datagram[datagramHeaderBytes-1:]):
		return nil, ErrMalformed
	case datagram[datagramHeaderBytes-1] != FormatVersion:
		return nil, ErrUnsupportedFormat
	}
	var received fragment
	if err := fragmentDecoder.Unmarshal(datagram[datagramHeaderBytes:], &received); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	switch {
	case received.Cluster != f.cluster || received.To != f.self || received.From == f.self:
		return nil, ErrOtherCluster
	case len(received.Requested) > 0:
		f.resend(&received)
		return nil, nil
	case received.Count == 0 || received.Count > maxFragments || received.Index >= received.Count || received.Index+1 < received.Count && len(received.Data) != fragmentBytes:
		return nil, ErrMalformed
	case received.Count == 1:
		return received.Data, nil
	}
	return f.addFragment(&received), nil
}

// addFragment puts a page where it belongs. The oldest half message goes where there are too many, or too much.
func (f *Fragmenter) addFragment(received *fragment) []byte {
	var partial *partialMessage
	for _, candidate := range f.partials[received.From] {
		if candidate.number == received.MessageNumber {
			partial = candidate
		}
	}
	if partial == nil {
		partial = &partialMessage{number: received.MessageNumber, startedAt: f.now, fragments: make([][]byte, received.Count), missing: int(received.Count)}
		f.partials[received.From] = append(f.partials[received.From], partial)
	}
	if len(partial.fragments) != int(received.Count) || partial.fragments[received.Index] != nil {
		return nil // repeated, or not of this message
	}
	partial.fragments[received.Index] = received.Data
	partial.missing--
	partial.lastActivityAt = f.now
	partial.bytes += len(received.Data)
	f.partialBytes += len(received.Data)
	if partial.missing > 0 {
		for len(f.partials[received.From]) > maxPartialsPerSender || f.partialBytes > f.maxBytes && f.dropOldest(received.From) {
			if len(f.partials[received.From]) > maxPartialsPerSender {
				f.dropOldest(received.From)
			}
		}
		return nil
	}
	var message []byte
	for _, data := range partial.fragments {
		message = append(message, data...)
	}
	f.remove(received.From, partial)
	return message
}

// PartialBytes are the bytes of half messages.
func (f *Fragmenter) PartialBytes() int { return f.partialBytes }

// dropOldest forgets the oldest half message of a sender, or of any.
func (f *Fragmenter) dropOldest(from uint64) bool {
	if len(f.partials[from]) == 0 {
		return false
	}
	f.remove(from, f.partials[from][0])
	return true
}

func (f *Fragmenter) remove(from uint64, partial *partialMessage) {
	f.partialBytes -= partial.bytes
	remaining := f.partials[from][:0]
	for _, other := range f.partials[from] {
		if other != partial {
			remaining = append(remaining, other)
		}
	}
	if f.partials[from] = remaining; len(remaining) == 0 {
		delete(f.partials, from)
	}
}
