package engine

// memory is an engine's KV cache: the tokens of running tasks, and cached prompt chunks. Chunks form a tree for each
// model (a radix cache), since a chunk can be reused only after the same chunks before it. Unused chunks are evicted
// when memory is needed, the least recently used first. All sizes are in tokens.
type memory struct {
	size        int
	blockTokens int
	pinned      int // in use, can't be evicted
	cached      int // can be evicted
	models      map[string]*cacheNode
	evictable   cacheNode // sentinel of the ring of unused nodes; the least recently used is next
}

// cacheNode is a cached chunk.
type cacheNode struct {
	chunk      Chunk
	tokens     int // memory that it takes, whole blocks
	users      int // running tasks that use it
	parent     *cacheNode
	children   map[Chunk]*cacheNode
	prev, next *cacheNode // in the ring while users is 0
}

// taskMemory is the memory of a task.
type taskMemory struct {
	cachedPrefix *cacheNode // deepest chunk of its prompt in the tree
	ownTokens    int        // beside the cached prefix
}

func newMemory(size, block int) *memory {
	m := &memory{size: size, blockTokens: block, models: make(map[string]*cacheNode)}
	m.evictable.prev = &m.evictable
	m.evictable.next = &m.evictable
	return m
}

// roundUp returns the memory that so many tokens take: whole blocks.
func (m *memory) roundUp(tokens int) int {
	return (tokens + m.blockTokens - 1) / m.blockTokens * m.blockTokens
}

// root returns the root of a model's tree. It has a user always, so that it is never evicted.
func (m *memory) root(model string) *cacheNode {
	root := m.models[model]
	if root == nil {
		root = &cacheNode{users: 1}
		m.models[model] = root
	}
	return root
}

// longestPrefix walks down from a node along chunks and returns the deepest cached one and the number of chunks
// found.
func longestPrefix(from *cacheNode, chunks []Chunk) (*cacheNode, int) {
	for i, chunk := range chunks {
		child := from.children[chunk]
		if child == nil {
			return from, i
		}
		from = child
	}
	return from, len(chunks)
}

// available returns the memory that a task using the chain of nodes could get: what is free and what can be evicted,
// the chain excepted.
func (m *memory) available(chain *cacheNode) int {
	room := m.size - m.pinned
	for n := chain; n != nil; n = n.parent {
		if n.users == 0 {
			room -= n.tokens
		}
	}
	return room
}

// pin counts a task as a user of a node and its ancestors.
func (m *memory) pin(chain *cacheNode) {
	for n := chain; n != nil && n.parent != nil; n = n.parent {
		if n.users == 0 {
			m.cached -= n.tokens
			m.pinned += n.tokens
			n.removeFromRing()
		}
		n.users++
	}
}

// unpin reverses pin. Ancestors enter the ring behind their descendants, so that these are evicted first.
func (m *memory) unpin(chain *cacheNode) {
	for n := chain; n != nil && n.parent != nil; n = n.parent {
		n.users--
		if n.users > 0 {
			continue
		}
		m.pinned -= n.tokens
		m.cached += n.tokens
		n.addToRing(&m.evictable)
	}
}

func (n *cacheNode) removeFromRing() {
	n.prev.next = n.next
	n.next.prev = n.prev
	n.prev = nil
	n.next = nil
}

func (n *cacheNode) addToRing(head *cacheNode) {
	n.prev = head.prev
	n.next = head
	head.prev.next = n
	head.prev = n
}

// reserve gives a task memory of its own and evicts unused chunks for it; false if there isn't enough.
func (m *memory) reserve(t *Task, room int) bool {
	if m.pinned+room > m.size {
		return false
	}
	for m.pinned+m.cached+room > m.size {
		m.evict(m.evictable.next)
	}
	m.pinned += room
	t.memory.ownTokens += room
	return true
}

// evict removes an unused chunk.
func (m *memory) evict(n *cacheNode) {
	n.removeFromRing()
	m.cached -= n.tokens
	delete(n.parent.children, n.chunk)
}

// publish moves a prefilled chunk from the task's own memory into the tree, unless another task has published it
// first.
func (m *memory) publish(t *Task, chunk Chunk) {
	parent := t.memory.cachedPrefix
	room := m.roundUp(chunk.Tokens)
	t.memory.ownTokens -= room
	m.pinned -= room
	if published := parent.children[chunk]; published != nil {
		m.attach(t, published)
		return
	}
	if parent.children == nil {
		parent.children = make(map[Chunk]*cacheNode)
	}
	node := &cacheNode{chunk: chunk, tokens: room, parent: parent, users: 1}
	parent.children[chunk] = node
	m.pinned += room
	t.memory.cachedPrefix = node
}

// attach extends a task's cached prefix by one chunk, whose ancestors the task uses already.
func (m *memory) attach(t *Task, n *cacheNode) {
	if n.users == 0 {
		m.cached -= n.tokens
		m.pinned += n.tokens
		n.removeFromRing()
	}
	n.users++
	t.memory.cachedPrefix = n
}

// free returns memory of the task's own.
func (m *memory) free(t *Task, room int) {
	t.memory.ownTokens -= room
	m.pinned -= room
}

// release returns all memory of a task.
func (m *memory) release(t *Task) {
	m.unpin(t.memory.cachedPrefix)
	m.pinned -= t.memory.ownTokens
	t.memory = taskMemory{}
}
