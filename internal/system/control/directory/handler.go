package directory

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/jx"
)

// Path is the URL path of lookups.
const Path = "/-/lookup"

const (
	// defaultTTL is how long clients should cache a reply.
	defaultTTL = 2 * time.Second
	// outOfRegionTTL is the same for a reply that leads clients out of their region because all proxies there are
	// stopping or dead. It is short: the round trips are long, requests with affinity may be served elsewhere, and the
	// region's proxies may be back soon.
	outOfRegionTTL = 400 * time.Millisecond
)

// retryAfterSeconds is the value of the header Retry-After of a reply without addresses.
const retryAfterSeconds = "1"

// Handler serves lookups. Its fields must not change while it serves.
type Handler struct {
	Source EdgeSource
	MaxTTL time.Duration // limit of the TTL by the deployment's settings; 0: none
}

// ServeHTTP answers GET and HEAD requests for Path. The query parameters region and zone tell where the client is.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "directory: look-ups are GET requests", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	choice := Choose(h.Source.Edges(), query.Get("region"), query.Get("zone"), rng)
	if len(choice.Addresses) == 0 {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "directory: no edge proxy is known yet", http.StatusServiceUnavailable)
		return
	}
	body := encodeReply(choice.Addresses, h.ttl(choice.OutOfRegion))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body) //nolint:errcheck // the client has disconnected; there is nobody to report it to
}

// ttl returns how long a client should cache a reply.
func (h *Handler) ttl(outOfRegion bool) time.Duration {
	ttl := defaultTTL
	if outOfRegion {
		ttl = outOfRegionTTL
	}
	if h.MaxTTL > 0 {
		ttl = min(ttl, h.MaxTTL)
	}
	return ttl
}

// encodeReply returns the JSON of a reply.
func encodeReply(addresses []netip.AddrPort, ttl time.Duration) []byte {
	var encoder jx.Encoder
	encoder.ObjStart()
	encoder.FieldStart("addresses")
	encoder.ArrStart()
	for _, address := range addresses {
		encoder.Str(address.String())
	}
	encoder.ArrEnd()
	encoder.FieldStart("cache_ttl_s")
	encoder.Float64(ttl.Seconds())
	encoder.ObjEnd()
	return encoder.Bytes()
}
