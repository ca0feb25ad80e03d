package membership

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // requests an ack of Subject, of whoever has the address if it is nil
	Ack                          // Subject is alive: the sender itself, or the target of an IndirectPing
	IndirectPing                 // requests that the receiver ping Subject on behalf of the sender
	Nack                         // Subject has not acknowledged the receiver's IndirectPing
	Update                       // carries nothing but what goes along with every message
	Digests                      // requests the records of the shards that differ
	Records                      // carries records of shards that differ
	kinds
)

// Message is a datagram between members. Its receiver must not change it.
type Message struct {
	Kind           Kind     `cbor:"1,keyasint"`
	Cluster        string   `cbor:"2,keyasint"`           // name of the cluster
	From           Record   `cbor:"3,keyasint"`           // of the sender
	Number         uint64   `cbor:"4,keyasint"`           // counts the messages of the sender's generation
	ViewDigest     uint64   `cbor:"5,keyasint,omitempty"` // see Node.Digest
	NamesDigest    uint64   `cbor:"6,keyasint,omitempty"` // see Node.NamesDigest
	MetadataDigest uint64   `cbor:"7,keyasint,omitempty"` // see Node.MetadataDigest
	Seq            uint64   `cbor:"8,keyasint,omitempty"` // of a ping and its acks and nacks
	Subject        *Record  `cbor:"9,keyasint,omitempty"`
	ShardDigests   []uint64 `cbor:"10,keyasint,omitempty"` // of Digests
	WantsDigests   bool     `cbor:"11,keyasint,omitempty"` // of Digests: the receiver is to send its own, too
	Records        []Record `cbor:"12,keyasint,omitempty"`
	Payload        []byte   `cbor:"13,keyasint,omitempty"` // of the Delegate
}

const (
	// FormatVersion is the version of the datagrams' format; others are rejected.
	FormatVersion = 1
	// MaxDatagramSize is the largest size of a datagram in bytes: one that no network fragments.
	MaxDatagramSize = 1400

	headerSize           = 9    // bytes of checksum and format version
	shardCount           = 64   // shards of a view: 512 bytes of digests, and a shard of 1,000 members fits a message
	maxRecords           = 32   // records in a message
	recordsBudget        = 800  // bytes of records in a message, with Subject; the payload has the rest
	payloadBudget        = 300  // bytes of a payload that goes along with a message
	maxPayloadSize       = 1100 // bytes of a payload in a message of its own
	maxClusterNameLength = 64
)

// validate reports why a message is malformed. It bounds all that comes from the network.
func (m *Message) validate() error {
	if m.Kind == 0 || m.Kind >= kinds || len(m.Cluster) > maxClusterNameLength {
		return &InvalidError{"unknown kind, or name of the cluster too long"}
	}
	if len(m.Records) > maxRecords || len(m.ShardDigests) != 0 && len(m.ShardDigests) != shardCount {
		return &InvalidError{"too many records or digests"}
	}
	if (m.Kind == Ack || m.Kind == IndirectPing || m.Kind == Nack) && m.Subject == nil {
		return &InvalidError{"no subject"}
	}
	if len(m.Payload) > maxPayloadSize {
		return &InvalidError{"payload too long"}
	}
	if m.Subject != nil {
		if err := m.Subject.validate(); err != nil {
			return err
		}
	}
	if err := m.From.validate(); err != nil {
		return err
	}
	for i := range m.Records {
		if err := m.Records[i].validate(); err != nil {
			return err
		}
	}
	return nil
}
