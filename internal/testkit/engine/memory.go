package engine

// memory is the token memory of an engine: what running tasks hold, and parts of prompts that are kept for later. Parts
// form a tree for each model, as a part is of use only after the same parts before it. Kept parts that nobody uses give
// way when room is needed, those unused for longest first.
type memory struct {
	size        int // tokens
	blockTokens int
	pinned      int // tokens that cannot give way
	cached      int // tokens that can
	models      map[string]*cacheNode
	evictable   cacheNode // head of the ring of nodes that can give way, the oldest at oldest.next
}

// cacheNode is a kept part.
type cacheNode struct {
	chunk      Chunk
	tokens     int // tokens of memory that it takes
	users      int // running tasks
	parent     *cacheNode
	children   map[Chunk]*cacheNode
	prev, next *cacheNode // in the ring, while nobody uses it
}

// taskMemory is what a task has of the memory.
type taskMemory struct {
	cachedPrefix *cacheNode // the deepest part of its prompt in the tree
	ownTokens    int        // tokens besides
}

func newMemory(size, block int) *memory {
	m := &memory{size: size, blockTokens: block, models: make(map[string]*cacheNode)}
	m.evictable.prev, m.evictable.next = &m.evictable, &m.evictable
	return m
}

// roundUp is the room that so many tokens take.
func (m *memory) roundUp(tokens int) int {
	return (tokens + m.blockTokens - 1) / m.blockTokens * m.blockTokens
}

func (m *memory) root(model string) *cacheNode {
	root := m.models[model]
	if root == nil {
		root = &cacheNode{users: 1}
		m.models[model] = root
	}
	return root
}

// longestPrefix walks down from a node along parts; it returns the deepest one and how many parts it found.
func longestPrefix(from *cacheNode, parts []Chunk) (*cacheNode, int) {
	for i, part := range parts {
		child := from.children[part]
		if child == nil {
			return from, i
		}
		from = child
	}
	return from, len(parts)
}

// available is how much room there is for a task that would use a chain of nodes: what is free, and what can give way
// but for that chain.
func (m *memory) available(chain *cacheNode) int {
	room := m.size - m.pinned
	for n := chain; n != nil; n = n.parent {
		if n.users == 0 {
			room -= n.tokens
		}
	}
	return room
}

// pin counts a task as a user of a node and of all before it.
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

// unpin is the reverse. Parents come to be younger than their children, so that these give way first.
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
	n.prev.next, n.next.prev = n.next, n.prev
	n.prev, n.next = nil, nil
}

func (n *cacheNode) addToRing(head *cacheNode) {
	n.prev, n.next = head.prev, head
	head.prev.next, head.prev = n, n
}

// reserve gives a task room of its own, if there is any; kept parts give way.
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

// evict drops a kept part.
func (m *memory) evict(n *cacheNode) {
	n.removeFromRing()
	m.cached -= n.tokens
	delete(n.parent.children, n.chunk)
}

// publish makes a part that a task has read one of the tree, unless another task was first.
func (m *memory) publish(t *Task, part Chunk) {
	parent := t.memory.cachedPrefix
	room := m.roundUp(part.Tokens)
	t.memory.ownTokens -= room
	m.pinned -= room
	n := parent.children[part]
	if n == nil {
		n = &cacheNode{chunk: part, tokens: room, parent: parent}
		if parent.children == nil {
			parent.children = make(map[Chunk]*cacheNode)
		}
		parent.children[part] = n
		n.users = 1
		m.pinned += room
		t.memory.cachedPrefix = n
		return
	}
	m.attach(t, n)
}

// attach lets a task go on from a part that is kept behind the one that it uses.
func (m *memory) attach(t *Task, n *cacheNode) {
	if n.users == 0 {
		m.cached -= n.tokens
		m.pinned += n.tokens
		n.removeFromRing()
	}
	n.users++
	t.memory.cachedPrefix = n
}

// free returns room of the task's own.
func (m *memory) free(t *Task, room int) {
	t.memory.ownTokens -= room
	m.pinned -= room
}

// release ends all that a task holds.
func (m *memory) release(t *Task) {
	m.unpin(t.memory.cachedPrefix)
	m.pinned -= t.memory.ownTokens
	t.memory = taskMemory{}
}
