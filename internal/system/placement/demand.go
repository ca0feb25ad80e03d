package placement

// tokenDemand is what a request asks of an engine's memory.
type tokenDemand struct {
	uniqueTokens     float64 // prompt tokens that no other request shares
	sharedTokens     float64 // prompt tokens that may be cached
	outputTokens     float64 // expected generated tokens
	prefix           uint64  // hash of the shared chunks; 0: the route has no prefix affinity
	lastSharedTokens float64 // prompt tokens of the last shared chunk
}

// memoryTokens is the memory that a request takes, in tokens.
func (d *tokenDemand) memoryTokens(cached bool) float64 {
	if cached {
		return d.uniqueTokens + d.outputTokens
	}
	return d.uniqueTokens + d.sharedTokens + d.outputTokens
}

// demandOf computes what a request asks of a service's runners; nothing if they are no engines.
func (p *Placer) demandOf(service *serviceState, request *Request) (demand tokenDemand) {
	if !service.isEngine() {
		return demand
	}
	for i, chunk := range request.Chunks {
		if i < len(request.Chunks)-1 {
			demand.sharedTokens += float64(chunk.Tokens)
		} else {
			demand.uniqueTokens += float64(chunk.Tokens)
		}
	}
	if in := float64(request.InputTokens); in > demand.uniqueTokens+demand.sharedTokens {
		demand.uniqueTokens = in - demand.sharedTokens
	}
	if request.Route != nil && request.Route.PrefixAffinity {
		demand.prefix = prefixHash(request.Chunks)
		demand.lastSharedTokens = lastSharedTokens(request.Chunks)
	}
	if request.Route != nil {
		demand.outputTokens = float64(request.MaxOutputTokens) * p.statsOf(request.Route).outputShare
	}
	return demand
}
