package directory

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/jx"
)

// Path is where clients look up.
const Path = "/-/lookup"

// defaultTTL is how long clients are to hold an answer. Some hold it up to three times as long: it bounds how long a
// proxy that is gone is still chosen.
const defaultTTL = 2 * time.Second

// outOfRegionTTL is the same for an answer that leads clients out of their region, since all proxies there stop or are lost:
// the way is long, requests with homes may be bound elsewhere, and the region's proxies may be back soon.
const outOfRegionTTL = 400 * time.Millisecond

// Handler answers look-ups.
type Handler struct {
	Source EdgeSource
	MaxTTL time.Duration // longest that clients hold an answer by the deployment's sheet; 0: not told
}

// ServeHTTP answers GET Path with the query's region and zone.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "directory: look-ups are GET requests", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	choice := Choose(h.Source.Edges(), query.Get("region"), query.Get("zone"), rng)
	if len(choice.Addresses) == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "directory: no edge proxy is known yet", http.StatusServiceUnavailable)
		return
	}
	body := encodeReply(choice.Addresses, h.ttl(choice.OutOfRegion))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body) //nolint:errcheck // the client has gone: nobody is left to tell
}

// ttl is how long a client is to hold an answer; away says that the answer leads out of its region.
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
