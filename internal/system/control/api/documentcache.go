package api

import (
	"errors"
	"sync"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// largeBodyBytes is the size from which a request body takes long to parse: its prepared change is cached, and its call
// has more time.
const largeBodyBytes = 64 << 10

// documentCache holds what is expensive to parse and likely to be needed again: the configuration in force, most of which
// the next version shares, and the last large change, which callers repeat while it is being committed.
type documentCache struct {
	mutex   sync.Mutex
	current *configuration.Document // in force when it was last read; nil: none yet

	// preparedChange is the last large change, with the digest of its request and the version that it was validated
	// against; nil: none.
	preparedChange *preparedChange
	digest         state.Digest
	baseVersion    uint64
}

// prepareChange parses and validates a request against the configuration that it builds on. The error is a
// *validation.Error or an *apiError, or says why the body can't be parsed. The mutex is held while it parses, so that a
// repeated request waits for the result of the first.
func (c *documentCache) prepareChange(request *changeRequest, base *state.View) (preparedChange, error) {
	digest := request.digest()
	large := len(request.body) >= largeBodyBytes
	c.mutex.Lock()
	defer c.mutex.Unlock()
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
		c.digest = digest
		c.baseVersion = base.Version
		c.preparedChange = &prepared
	}
	return prepared, nil
}

// currentDocument returns the configuration in force; nil if there is none.
func (c *documentCache) currentDocument(base *state.View) (*configuration.Document, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.load(base)
}

// load returns the document of a base, parsing only what differs from the cached one. The mutex is held.
func (c *documentCache) load(base *state.View) (*configuration.Document, error) {
	if c.current != nil && c.current.Version() == base.Version {
		return c.current, nil
	}
	document, err := configuration.FromItemsReusing(c.current, base.Values.WithPrefix(""))
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

// commitWrites returns the writes of a commit. The version is not among them: applying the commit writes it.
func commitWrites(diff []configuration.Write) []state.Write {
	writes := make([]state.Write, 0, len(diff))
	for _, write := range diff {
		if write.Key != feed.KeyVersion {
			writes = append(writes, state.Write(write))
		}
	}
	return writes
}
