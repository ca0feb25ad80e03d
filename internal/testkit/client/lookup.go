package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"
)

// lookupPath is a directory's lookup endpoint.
const lookupPath = "/-/lookup"

// lookupAnswer is the endpoint's answer.
type lookupAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"cache_ttl_s"`
}

// errNoAddress: no directory answers, and no earlier lookup is known.
var errNoAddress = errors.New("no directory answers, and no address is known from before")

// pickAddress returns a random address of those that haven't failed since the last lookup.
func (c *client) pickAddress(ctx context.Context, host string) (string, error) {
	if address := c.generator.options.FixedAddress; address != "" {
		return address, nil
	}
	c.refreshAddresses(ctx, host)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.addresses) == 0 {
		return "", errNoAddress
	}
	good := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return c.failedAddresses[a] })
	if len(good) == 0 {
		good = c.addresses
		c.failedAddresses = nil
	}
	return good[c.generator.randomBelow(len(good))], nil
}

// refreshAddresses makes a lookup if the last one has expired. If all directories fail, the expired addresses stay in
// use.
func (c *client) refreshAddresses(ctx context.Context, host string) {
	c.mutex.Lock()
	fresh := time.Now().Before(c.addressesExpireAt) || c.sticky && len(c.failedAddresses) < len(c.addresses)
	c.mutex.Unlock()
	if fresh {
		return
	}
	directories := c.generator.options.Directories(c.zone)
	for i := range min(maxLookups, len(directories)) {
		found, err := c.lookup(ctx, directories[i].String(), host)
		c.generator.stats.recordLookup(err)
		if err != nil {
			continue
		}
		c.storeAddresses(found)
		return
	}
}

func (c *client) lookup(ctx context.Context, directory, host string) (*lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"name": {host}, "region": {c.region}, "zone": {c.zone}}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+lookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("directory %s answered %d", directory, resp.StatusCode)
	}
	var found lookupAnswer
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		return nil, err
	}
	if len(found.Addresses) == 0 || found.TTL <= 0 {
		return nil, fmt.Errorf("directory %s answered without addresses or without a TTL", directory)
	}
	return &found, nil
}

// storeAddresses stores a lookup and closes idle connections to addresses that it no longer has.
func (c *client) storeAddresses(found *lookupAnswer) {
	ttl := time.Duration(found.TTL * float64(time.Second))
	if maxTTL := c.generator.options.MaxTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses = found.Addresses
	c.failedAddresses = nil
	c.addressesExpireAt = time.Now().Add(ttl * time.Duration(c.ttlMultiple))
	if c.sticky {
		return
	}
	c.idle = slices.DeleteFunc(c.idle, func(idle *conn) bool {
		gone := !slices.Contains(found.Addresses, idle.address)
		if gone {
			idle.Close()
		}
		return gone
	})
}

// markFailed excludes an address until the next lookup.
func (c *client) markFailed(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failedAddresses == nil {
		c.failedAddresses = make(map[string]bool)
	}
	c.failedAddresses[address] = true
}
