package engine

// memory is the token memory of an engine: what running tasks hold, and parts of prompts that are kept for later. Parts
// form a tree for each model, as a part is of use only after the same parts before it. Kept parts that nobody uses give
// way when room is needed, those unused for longest first.
type memory struct {
	size   int // tokens
	block  int
	pinned int // tokens that cannot give way
	kept   int // tokens that can
	models map[string]*node
	oldest node // head of the ring of nodes that can give way, the oldest at oldest.next
}

// node is a kept part.
type node struct {
	part       Chunk
	room       int // tokens of memory that it takes
	users      int // running tasks
	parent     *node
	children   map[Chunk]*node
	prev, next *node // in the ring, while nobody uses it
}

// holding is what a task has of the memory.
type holding struct {
	shared *node // the deepest part of its prompt in the tree
	own    int   // tokens besides
}

func newMemory(size, block int) *memory {
	m := &memory{size: size, block: block, models: make(map[string]*node)}
	m.oldest.prev, m.oldest.next = &m.oldest, &m.oldest
	return m
}

// blocks is the room that so many tokens take.
func (m *memory) blocks(tokens int) int { return (tokens + m.block - 1) / m.block * m.block }

func (m *memory) root(model string) *node {
	root := m.models[model]
	if root == nil {
		root = &node{users: 1}
		m.models[model] = root
	}
	return root
}

// find walks down from a node along parts; it returns the deepest one and how many parts it found.
func find(from *node, parts []Chunk) (*node, int) {
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
func (m *memory) available(chain *node) int {
	room := m.size - m.pinned
	for n := chain; n != nil; n = n.parent {
		if n.users == 0 {
			room -= n.room
		}
	}
	return room
}

// pin counts a task as a user of a node and of all before it.
func (m *memory) pin(chain *node) {
	for n := chain; n != nil && n.parent != nil; n = n.parent {
		if n.users == 0 {
			m.kept -= n.room
			m.pinned += n.room
			n.leaveRing()
		}
		n.users++
	}
}

// unpin is the reverse. Parents come to be younger than their children, so that these give way first.
func (m *memory) unpin(chain *node) {
	for n := chain; n != nil && n.parent != nil; n = n.parent {
		n.users--
		if n.users > 0 {
			continue
		}
		m.pinned -= n.room
		m.kept += n.room
		n.joinRing(&m.oldest)
	}
}

func (n *node) leaveRing() {
	n.prev.next, n.next.prev = n.next, n.prev
	n.prev, n.next = nil, nil
}

func (n *node) joinRing(head *node) {
	n.prev, n.next = head.prev, head
	head.prev.next, head.prev = n, n
}

// take gives a task room of its own, if there is any; kept parts give way.
func (m *memory) take(t *Task, room int) bool {
	if m.pinned+room > m.size {
		return false
	}
	for m.pinned+m.kept+room > m.size {
		m.forget(m.oldest.next)
	}
	m.pinned += room
	t.holds.own += room
	return true
}

// forget drops a kept part.
func (m *memory) forget(n *node) {
	n.leaveRing()
	m.kept -= n.room
	delete(n.parent.children, n.part)
}

// publish makes a part that a task has read one of the tree, unless another task was first.
func (m *memory) publish(t *Task, part Chunk) {
	parent := t.holds.shared
	room := m.blocks(part.Tokens)
	t.holds.own -= room
	m.pinned -= room
	n := parent.children[part]
	if n == nil {
		n = &node{part: part, room: room, parent: parent}
		if parent.children == nil {
			parent.children = make(map[Chunk]*node)
		}
		parent.children[part] = n
		n.users = 1
		m.pinned += room
		t.holds.shared = n
		return
	}
	m.use(t, n)
}

// use lets a task go on from a part that is kept behind the one that it uses.
func (m *memory) use(t *Task, n *node) {
	if n.users == 0 {
		m.kept -= n.room
		m.pinned += n.room
		n.leaveRing()
	}
	n.users++
	t.holds.shared = n
}

// giveBack returns room of the task's own.
func (m *memory) giveBack(t *Task, room int) {
	t.holds.own -= room
	m.pinned -= room
}

// release ends all that a task holds.
func (m *memory) release(t *Task) {
	m.unpin(t.holds.shared)
	m.pinned -= t.holds.own
	t.holds = holding{}
}
