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

// usualTTL is how long clients are to hold an answer. Some hold it up to three times as long: it bounds how long a
// proxy that is gone is still chosen.
const usualTTL = 2 * time.Second

// Handler answers look-ups.
type Handler struct {
	Members Members
	TTLMax  time.Duration // longest that clients hold an answer by the deployment's sheet; 0: not told
}

// ServeHTTP answers GET Path with the query's region and zone.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "directory: look-ups are GET requests", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	addresses := Choose(h.Members.Edges(), query.Get("region"), query.Get("zone"), rng)
	if len(addresses) == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "directory: no edge proxy is known yet", http.StatusServiceUnavailable)
		return
	}
	body := encode(addresses, h.ttl())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body) //nolint:errcheck // the client has gone: nobody is left to tell
}

func (h *Handler) ttl() time.Duration {
	if h.TTLMax > 0 {
		return min(usualTTL, h.TTLMax)
	}
	return usualTTL
}

func encode(addresses []netip.AddrPort, ttl time.Duration) []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("addresses")
	e.ArrStart()
	for _, address := range addresses {
		e.Str(address.String())
	}
	e.ArrEnd()
	e.FieldStart("cache_ttl_s")
	e.Float64(ttl.Seconds())
	e.ObjEnd()
	return e.Bytes()
}
