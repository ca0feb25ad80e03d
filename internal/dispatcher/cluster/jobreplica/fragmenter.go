package jobreplica

import (
	"maps"
	"slices"
)

const (
	maxPartialsPerSender  = 16   // incomplete messages of one sender
	maxRequestedFragments = 100  // in one datagram
	maxPendingResends     = 256  // datagrams to send again at one Tick
	sliceHeaderBytes      = 24   // of the memory for each fragment of an incomplete message, whether it has come or not
	requestAfterSeconds   = 0.1  // without a fragment, after which the missing ones are requested
	retentionSeconds      = 30.0 // of incomplete messages, and of sent ones for resending
)

// Fragmenter splits messages into datagrams and reassembles them, for one incarnation of a member. Lost fragments are
// requested again by the receiver; a message that stays incomplete is dropped. It performs no I/O and is not safe for
// concurrent use.
type Fragmenter struct {
	cluster           string
	self              uint64 // Member.ID
	maxBytes          int    // of incomplete messages, and of sent messages; see NewFragmenter
	lastMessageNumber uint64
	now               float64 // seconds, of the last Tick
	partialBytes      int
	partials          map[uint64][]*partialMessage // by sender; oldest first
	sent              []sentMessage                // of more than one fragment; oldest first
	sentBytes         int
	resends           []Outgoing // datagrams that were requested again
}

// sentMessage is retained for requests of its fragments.
type sentMessage struct {
	to, number uint64
	sentAt     float64
	bytes      int
	datagrams  [][]byte
}

// partialMessage is a message of which fragments are missing.
type partialMessage struct {
	number         uint64
	startedAt      float64
	lastActivityAt float64  // when the last fragment came, or missing ones were requested
	fragments      [][]byte // nil: missing
	missing        int
	bytes          int // of its data, and of its slice headers
}

// NewFragmenter returns a Fragmenter that holds up to maxPartialBytes of incomplete messages, their slice headers
// included, and as much data of sent ones, but always the last one sent.
func NewFragmenter(cluster string, self uint64, maxPartialBytes int) *Fragmenter {
	return &Fragmenter{cluster: cluster, self: self, maxBytes: maxPartialBytes, partials: map[uint64][]*partialMessage{}}
}

// Fragment splits a message into datagrams for message.To.
func (f *Fragmenter) Fragment(message Outgoing) (datagrams [][]byte) {
	f.lastMessageNumber++
	count := max((len(message.Data)+fragmentBytes-1)/fragmentBytes, 1)
	for i := range count {
		datagrams = append(datagrams, encodeFragment(&fragment{
			Cluster:       f.cluster,
			From:          f.self,
			To:            message.To,
			MessageNumber: f.lastMessageNumber,
			Index:         uint32(i),
			Count:         uint32(count),
			Data:          message.Data[i*fragmentBytes : min((i+1)*fragmentBytes, len(message.Data))],
		}))
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

// Tick advances the time to now, in seconds. It returns datagrams to be sent: fragments that others have requested, and
// requests for fragments that are missing here. It drops messages that have been incomplete for too long.
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
				outgoing = append(outgoing, Outgoing{from, encodeFragment(&fragment{
					Cluster:       f.cluster,
					From:          f.self,
					To:            from,
					MessageNumber: partial.number,
					Requested:     partial.missingIndexes(),
				})})
			}
		}
	}
	return outgoing
}

// missingIndexes returns the first missing fragments, as many as one request holds.
func (m *partialMessage) missingIndexes() (missing []uint32) {
	for i, data := range m.fragments {
		if data == nil && len(missing) < maxRequestedFragments {
			missing = append(missing, uint32(i))
		}
	}
	return missing
}

// resend queues requested fragments, if the message was for the requester.
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

// Reassemble processes a datagram and returns the message that it completes, or nil. Its errors wrap ErrOversized,
// ErrMalformed, ErrUnsupportedFormat or ErrOtherCluster.
func (f *Fragmenter) Reassemble(datagram []byte) (message []byte, err error) {
	received, err := decodeFragment(datagram)
	if err != nil {
		return nil, err
	}
	switch {
	case received.Cluster != f.cluster || received.To != f.self || received.From == f.self:
		return nil, ErrOtherCluster
	case len(received.Requested) > 0:
		f.resend(received)
		return nil, nil
	case !received.validPart():
		return nil, ErrMalformed
	case received.Count == 1:
		return received.Data, nil
	}
	return f.addFragment(received), nil
}

// addFragment adds a fragment to its message and returns the message if it is complete. Beyond the bounds the sender's
// oldest incomplete messages are dropped.
func (f *Fragmenter) addFragment(received *fragment) []byte {
	var partial *partialMessage
	for _, candidate := range f.partials[received.From] {
		if candidate.number == received.MessageNumber {
			partial = candidate
		}
	}
	if partial == nil {
		partial = &partialMessage{
			number:    received.MessageNumber,
			startedAt: f.now,
			fragments: make([][]byte, received.Count),
			missing:   int(received.Count),
		}
		f.partials[received.From] = append(f.partials[received.From], partial)
		f.addBytes(partial, sliceHeaderBytes*int(received.Count))
	}
	if len(partial.fragments) != int(received.Count) || partial.fragments[received.Index] != nil {
		return nil // a duplicate, or of another message
	}
	partial.fragments[received.Index] = received.Data
	partial.missing--
	partial.lastActivityAt = f.now
	f.addBytes(partial, len(received.Data))
	if partial.missing > 0 {
		f.dropExcess(received.From)
		return nil
	}
	var message []byte
	for _, data := range partial.fragments {
		message = append(message, data...)
	}
	f.remove(received.From, partial)
	return message
}

// addBytes counts memory of an incomplete message.
func (f *Fragmenter) addBytes(partial *partialMessage, bytes int) {
	partial.bytes += bytes
	f.partialBytes += bytes
}

// exceedsBounds reports whether there are too many incomplete messages of a sender, or too many bytes of all.
func (f *Fragmenter) exceedsBounds(from uint64) bool {
	return len(f.partials[from]) > maxPartialsPerSender || f.partialBytes > f.maxBytes
}

// dropExcess drops the oldest incomplete messages of a sender until the bounds are kept or none of that sender is left:
// those of others stay.
func (f *Fragmenter) dropExcess(from uint64) {
	for f.exceedsBounds(from) {
		if !f.dropOldest(from) {
			return
		}
	}
}

// PartialBytes returns the bytes of incomplete messages, their slice headers included.
func (f *Fragmenter) PartialBytes() int { return f.partialBytes }

// dropOldest drops the oldest incomplete message of a sender, and reports whether there was one.
func (f *Fragmenter) dropOldest(from uint64) bool {
	if len(f.partials[from]) == 0 {
		return false
	}
	f.remove(from, f.partials[from][0])
	return true
}

// remove removes an incomplete message.
func (f *Fragmenter) remove(from uint64, partial *partialMessage) {
	f.partialBytes -= partial.bytes
	remaining := f.partials[from][:0]
	for _, other := range f.partials[from] {
		if other != partial {
			remaining = append(remaining, other)
		}
	}
	f.partials[from] = remaining
	if len(remaining) == 0 {
		delete(f.partials, from)
	}
}
