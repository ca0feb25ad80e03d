package fakeplatform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// pagePrefix begins a page token; the index of the page's first entry follows.
const pagePrefix = "p-"

// rateWindow is the window of the rate limit.
const rateWindow = time.Second

// instanceDocument is an entry in JSON.
type instanceDocument struct {
	Service            string          `json:"service"`
	Address            string          `json:"address"`
	Zone               string          `json:"zone"`
	Version            string          `json:"version"`
	Capacity           int             `json:"capacity"`
	State              string          `json:"state"`
	SlowStartRemaining int64           `json:"cold_left_ms"`
	TimeToTermination  *int64          `json:"time_left_ms,omitempty"`
	Phase              string          `json:"phase,omitempty"`
	Models             []modelDocument `json:"models,omitempty"`
	ID                 string          `json:"id"`
}

type modelDocument struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// pageDocument is an answer in JSON.
type pageDocument struct {
	Instances []instanceDocument `json:"instances"`
	NextToken *string            `json:"next_token"`
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path || request.Method != http.MethodGet {
		http.NotFound(w, request)
		return
	}
	first, ok := parsePageToken(request.URL.Query().Get("page_token"))
	if !ok {
		http.Error(w, "page_token is none of ours", http.StatusBadRequest)
		return
	}
	answer, status := p.makePage(request.URL.Query().Get("zone"), first)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// parsePageToken returns the index of a page's first entry; an empty token stands for the first page.
func parsePageToken(token string) (first int, ok bool) {
	if token == "" {
		return 0, true
	}
	digits, found := strings.CutPrefix(token, pagePrefix)
	first, err := strconv.Atoi(digits)
	return first, found && err == nil && first >= 0
}

// makePage returns the page from the entry with index first on, and the HTTP status.
func (p *Platform) makePage(zone string, first int) (*pageDocument, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.options.Now()
	if status := p.countCall(now); status != http.StatusOK {
		return nil, status
	}
	p.applyChanges(now)
	var chosen []Entry
	for _, e := range p.entries {
		if zone == "" || e.Zone == zone {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	end := len(chosen)
	answer := &pageDocument{Instances: []instanceDocument{}}
	if p.options.PageSize > 0 && first+p.options.PageSize < end {
		end = first + p.options.PageSize
		next := pagePrefix + strconv.Itoa(end)
		answer.NextToken = &next
	}
	for _, e := range chosen[min(first, end):end] {
		answer.Instances = append(answer.Instances, e.instance(now))
	}
	return answer, http.StatusOK
}

// countCall counts a call against the rate limit and returns the HTTP status.
func (p *Platform) countCall(now time.Time) int {
	p.stats.Calls++
	for len(p.calls) > 0 && now.Sub(p.calls[0]) >= rateWindow {
		p.calls = p.calls[1:]
	}
	switch {
	case p.failing:
		return http.StatusInternalServerError
	case p.options.CallsPerSecond > 0 && float64(len(p.calls)+1) > p.options.CallsPerSecond:
		p.stats.Throttled++
		return http.StatusTooManyRequests
	}
	p.calls = append(p.calls, now)
	return http.StatusOK
}

func (e *Entry) instance(now time.Time) instanceDocument {
	i := instanceDocument{
		ID:                 e.ID,
		Service:            e.Service,
		Address:            e.Address.String(),
		Zone:               e.Zone,
		Version:            "v1",
		Capacity:           e.Capacity,
		State:              "serving",
		SlowStartRemaining: max(0, e.SlowStartUntil.Sub(now).Milliseconds()),
	}
	if e.Draining {
		i.State = "draining"
	}
	if !e.TerminatesAt.IsZero() {
		left := max(0, e.TerminatesAt.Sub(now).Milliseconds())
		i.TimeToTermination = &left
	}
	if e.Model != "" {
		i.Phase = "both"
		i.Models = []modelDocument{{Name: e.Model, Version: 1, Adapters: []string{}}}
	}
	return i
}
