package api

import (
	"crypto/sha256"
	"encoding/binary"

	"cinderroad/internal/system/control/state"
)

// requestKind says how the body of a change is parsed. Its values are part of the digests that replicas store, so that
// they must not change.
type requestKind uint8

const (
	kindReplace requestKind = 1 + iota // a complete configuration
	kindChange                         // items to replace and to remove
)

// changeRequest is a change of the configuration as the operator sent it.
type changeRequest struct {
	kind    requestKind
	basedOn uint64 // version that it builds on; 0: there is none yet
	body    []byte
}

// digest identifies the request by its kind, base and body: copies of a request share it, other requests do not.
func (r *changeRequest) digest() state.Digest {
	hash := sha256.New()
	var head [9]byte
	head[0] = byte(r.kind)
	binary.BigEndian.PutUint64(head[1:], r.basedOn)
	hash.Write(head[:])
	hash.Write(r.body)
	var digest state.Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// preparedChange is a validated request.
type preparedChange struct {
	version uint64
	writes  []state.Write
}
