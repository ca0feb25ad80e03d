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

// lookupPath is where a directory tells where to go.
const lookupPath = "/-/lookup"

// lookupAnswer is what it tells.
type lookupAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"cache_ttl_s"`
}

// errNoAddress says that no address is known.
var errNoAddress = errors.New("no directory answers, and no address is known from before")

// pickAddress picks where a new connection goes.
func (c *client) pickAddress(ctx context.Context, host string) (string, error) {
	if front := c.load.options.FixedAddress; front != "" {
		return front, nil
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
	return good[c.load.randomBelow(len(good))], nil
}

// refreshAddresses asks the directory if the last answer is too old. Without a new one, the old one goes on.
func (c *client) refreshAddresses(ctx context.Context, host string) {
	c.mutex.Lock()
	fresh := time.Now().Before(c.addressesExpireAt)
	c.mutex.Unlock()
	if fresh {
		return
	}
	directories := c.load.options.Directories(c.zone)
	for i := range min(maxLookups, len(directories)) {
		found, err := c.lookup(ctx, directories[i].String(), host)
		c.load.stats.recordLookup(err)
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
		return nil, fmt.Errorf("directory %s told no addresses or no time to keep them", directory)
	}
	return &found, nil
}

// storeAddresses takes an answer; connections to addresses that it lacks are not used again.
func (c *client) storeAddresses(found *lookupAnswer) {
	ttl := time.Duration(found.TTL * float64(time.Second))
	if most := c.load.options.MaxTTL; most > 0 {
		ttl = min(ttl, most)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses, c.failedAddresses = found.Addresses, nil
	c.addressesExpireAt = time.Now().Add(ttl * time.Duration(c.ttlMultiple))
	c.idle = slices.DeleteFunc(c.idle, func(idle *conn) bool {
		gone := !slices.Contains(found.Addresses, idle.address)
		if gone {
			idle.Close()
		}
		return gone
	})
}

// markFailed remembers an address that has failed.
func (c *client) markFailed(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failedAddresses == nil {
		c.failedAddresses = make(map[string]bool)
	}
	c.failedAddresses[address] = true
}
