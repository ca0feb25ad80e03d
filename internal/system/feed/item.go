package feed

import "time"

// Keys of items; those named KeyPrefix are followed by the name of the object.
//
// The configuration partition holds:
//   - KeyVersion: the version in decimal
//   - KeyLimits: the limits as JSON
//   - KeyPrefixRoute+name, KeyPrefixService+name: an ordinal as 8 bytes in big-endian order, then the JSON as the
//     operator sent it
//   - KeyPrefixExtra+field: the JSON of a document field that this version does not know
//   - KeyPrefixEvacuation+zone: an empty value
//
// The other partitions hold KeyPrefixRunner+id with the form of discovery.EncodeRunner.
const (
	KeyVersion          = "version"
	KeyLimits           = "limits"
	KeyPrefixRoute      = "route/"
	KeyPrefixService    = "service/"
	KeyPrefixExtra      = "extra/"
	KeyPrefixEvacuation = "evacuation/"
	KeyPrefixRunner     = "runner/"
)

// Item is the state of one key.
type Item struct {
	Key     string
	Index   uint64 // of the key's last change
	Value   []byte // must not be altered; empty if Deleted
	Deleted bool
	Age     time.Duration // since the last change as far as the sender knows, on a monotonic clock
}
