package consensus

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a cluster in virtual time.
type world struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	sequel  uint64
	steps   int
	verbose bool
	failed  string
	mutate  bool // messages are spoilt now and then

	profile profile
	slots   []*slot
	lastID  ReplicaID
	cuts    map[[2]int]bool                // one way each
	lastAt  map[[2]ReplicaID]time.Duration // of messages that keep their order
	faults  bool

	quietUntil time.Duration // no proposals
	truth      truth
	token      uint64
}

// profile is what a seed draws about its cluster.
type profile struct {
	Slots      int
	Loss, Dup  float64
	Ordered    bool // messages between two replicas keep their order
	Delay      time.Duration
	Pipelined  bool // the next Ready is taken while writes are under way
	Bare       bool // machines hold no snapshot data
	SyncTime   time.Duration
	FaultEvery time.Duration // at most
	FaultSpan  time.Duration // at most
	Proposals  time.Duration // between two
	Mischief   float64       // of the operator, a turn

	AppendBytes, Inflight int
}

// slot is a machine: its disk and its process outlive each other.
type slot struct {
	number  int
	id      ReplicaID
	disk    *disk
	process *process
	offset  time.Duration // of its clock
	rate    float64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newWorld(seed uint64) *world {
	w := &world{seed: seed, random: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]int]bool{},
		lastAt: map[[2]ReplicaID]time.Duration{}, faults: true}
	w.profile = w.drawProfile()
	w.truth = newTruth()
	return w
}

func (w *world) drawProfile() profile {
	p := profile{Slots: []int{1, 2, 3, 3, 3, 5, 5, 5, 5, 7}[w.random.IntN(10)]}
	if w.chance(0.5) {
		p.Loss = w.random.Float64() * 0.2
		p.Dup = w.random.Float64() * 0.1
	}
	p.Ordered = w.chance(0.4)
	p.Delay = w.between(time.Millisecond, 60*time.Millisecond)
	p.Pipelined = w.chance(0.5)
	p.Bare = w.chance(0.5)
	p.SyncTime = w.between(100*time.Microsecond, 20*time.Millisecond)
	p.FaultEvery = w.spread(60*time.Millisecond, 3*time.Second)
	p.FaultSpan = w.spread(200*time.Millisecond, 4*time.Second)
	p.Proposals = w.spread(3*time.Millisecond, 2*time.Second)
	p.AppendBytes = 16 << w.random.IntN(9)
	p.Inflight = 2 + w.random.IntN(8)
	if w.chance(0.6) {
		p.Mischief = w.random.Float64() * 0.2
	}
	return p
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// spread draws a time whose order of magnitude may be any within a range.
func (w *world) spread(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), w.random.Float64()))
}

func (w *world) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf("seed %d, at %v, step %d: ", w.seed, w.now, w.steps) + fmt.Sprintf(format, args...)
		w.logf("FAILED %s", w.failed)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.sequel++
	heap.Push(&w.events, event{w.now + max(d, 0), w.sequel, do})
}

// start founds the cluster.
func (w *world) start() {
	var founders Membership
	for i := range w.profile.Slots {
		w.lastID++
		s := &slot{number: i, id: w.lastID, disk: &disk{}, offset: w.between(0, time.Hour),
			rate: 0.98 + 0.04*w.random.Float64()}
		w.slots = append(w.slots, s)
		founders.Members = append(founders.Members, Member{ID: s.id, Node: fmt.Sprint(i), Voter: true})
	}
	w.truth.membership, w.truth.proposed = founders, founders
	for _, s := range w.slots {
		s.disk.stored.Snapshot.Membership = founders
		w.after(w.between(0, 300*time.Millisecond), func() { w.boot(s) })
	}
	w.after(time.Second, w.propose)
	w.after(time.Second, w.operate)
	w.after(time.Second, w.nextFault)
}

// run plays until a time from now has passed.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end && w.failed == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.steps++
		e.do()
		w.check()
	}
	w.now = end
}

func (w *world) slotOf(id ReplicaID) *slot {
	for _, s := range w.slots {
		if s.id == id {
			return s
		}
	}
	return nil
}

// processes are those that have not ended.
func (w *world) processes() (all []*process) {
	for _, s := range w.slots {
		if s.process != nil {
			all = append(all, s.process)
		}
	}
	return all
}

// send carries a message, in its encoded form, or loses it.
func (w *world) send(from *process, msg Message) {
	w.checkSent(from, msg)
	to := w.slotOf(msg.To)
	if to == nil {
		return
	}
	copies := 1
	if w.chance(w.profile.Dup) && w.faults {
		copies = 2
	}
	if w.profile.Bare && msg.Kind == MessageInstallSnapshot {
		stored := from.slot.disk.stored.Snapshot
		msg.Snapshot = &stored
	}
	data := EncodeMessage(msg)
	for range copies {
		if w.cuts[[2]int{from.slot.number, to.number}] || w.faults && w.chance(w.profile.Loss) {
			continue
		}
		w.after(w.delay(from.id, msg.To), func() { w.deliver(from.slot, to, msg.To, data) })
	}
}

func (w *world) delay(from, to ReplicaID) time.Duration {
	d := w.between(w.profile.Delay/4, w.profile.Delay)
	if w.faults && w.chance(0.01) {
		d += w.between(0, 3*time.Second)
	}
	if !w.profile.Ordered {
		return d
	}
	way := [2]ReplicaID{from, to}
	at := max(w.now+d, w.lastAt[way])
	w.lastAt[way] = at
	return at - w.now
}

func (w *world) deliver(from, to *slot, id ReplicaID, data []byte) {
	if to.process == nil || to.id != id || w.cuts[[2]int{from.number, to.number}] {
		return
	}
	data = w.spoil(data)
	msg, err := DecodeMessage(data)
	if err != nil && w.mutate {
		return
	}
	if err != nil {
		w.fail("message does not decode: %v", err)
		return
	}
	p := to.process
	p.do(func(m *Node) {
		w.logf("%d <- %v", p.id, msgText(msg))
		p.heard = p.heard || msg.Kind == MessageAppend || msg.Kind == MessageInstallSnapshot
		m.Step(p.clock(), msg)
	})
}

// spoil changes some bytes of a message at times.
func (w *world) spoil(data []byte) []byte {
	if !w.mutate || !w.chance(0.05) {
		return data
	}
	data = slices.Clone(data)
	for range 1 + w.random.IntN(3) {
		at := w.random.IntN(len(data))
		switch w.random.IntN(3) {
		case 0:
			data[at] = byte(w.random.Uint32())
		case 1:
			data[at] ^= 1 << w.random.IntN(8)
		case 2:
			data[at] += byte(w.random.IntN(5)) - 2
		}
	}
	return data
}

func msgText(m Message) string {
	return fmt.Sprintf("%d kind %d term %d index %d/%d commit %d entries %d reject %v hint %d round %d", m.From, m.Kind,
		m.Term, m.Index, m.LogTerm, m.Commit, len(m.Entries), m.Reject, m.RejectHint, m.Round)
}
