package api

import (
	"errors"
	"sync"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// largeBodyBytes is the size of an order that is worth being kept, in bytes.
const largeBodyBytes = 64 << 10

// documentCache keeps what was read last: the configuration in force, of which a later version shares most, and a large
// order. A large order takes its time to be read, and is sent again meanwhile; neither it nor the configuration that it
// builds on is read anew.
type documentCache struct {
	mutex          sync.Mutex
	current        *configuration.Document // nil: none yet
	digest         state.Digest
	baseVersion    uint64
	preparedChange *preparedChange // of the order with the digest; nil: there is none
}

// prepareChange reads and checks a request against the configuration that it builds on. An invalid request's error is a
// *findings.Error.
func (c *documentCache) prepareChange(request *changeRequest, base *state.Base) (preparedChange, error) {
	digest, large := request.digest(), len(request.body) >= largeBodyBytes
	c.mutex.Lock()
	defer c.mutex.Unlock() // one that comes again waits for the one before
	if large && c.preparedChange != nil && c.digest == digest && c.baseVersion == base.Version {
		return *c.preparedChange, nil
	}
	current, err := c.load(base)
	if err != nil {
		return preparedChange{}, err
	}
	next, err := validateRequest(request, current, base.Version)
	if err != nil {
		return preparedChange{}, err
	}
	prepared := preparedChange{version: next.Version(), writes: commitWrites(configuration.Diff(current, next))}
	c.preparedChange = nil
	if large {
		c.digest, c.baseVersion, c.preparedChange = digest, base.Version, &prepared
	}
	return prepared, nil
}

// currentDocument is the configuration in force, nil if there is none.
func (c *documentCache) currentDocument(base *state.Base) (*configuration.Document, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.load(base)
}

// load is currentDocument under the lock.
func (c *documentCache) load(base *state.Base) (*configuration.Document, error) {
	if c.current != nil && c.current.Version() == base.Version {
		return c.current, nil
	}
	document, err := configuration.FromItemsReusing(c.current, base.Values.All(""))
	var missing *configuration.NoDocumentError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailableError("the stored configuration can't be read: " + err.Error())
	}
	c.current = document
	return document, nil
}

func validateRequest(request *changeRequest, current *configuration.Document, version uint64) (*configuration.Document, error) {
	if request.kind == kindReplace {
		return configuration.ParseAndValidate(request.body, version)
	}
	return configuration.ApplyAndValidate(request.body, current)
}

// commitWrites are those of a commit, to which the version belongs by itself.
func commitWrites(diff []configuration.Write) []state.Write {
	out := make([]state.Write, 0, len(diff))
	for _, write := range diff {
		if write.Key != feed.KeyVersion {
			out = append(out, state.Write(write))
		}
	}
	return out
}
