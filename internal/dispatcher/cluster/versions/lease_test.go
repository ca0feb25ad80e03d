package versions_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

var (
	size      = flag.Int("fleet.size", 0, "fleets of this size alone")
	sizeSeeds = flag.Int("fleet.sizeseeds", 10, "and so many of them")
)

// life plays discovery and the leases of a virtual fleet on, a second at a time.
type life struct {
	net    *virtualcluster.Net
	boards map[*virtualcluster.Node]*versions.Board
	mute   map[*virtualcluster.Node]bool // its discovery says nothing
	group  map[*virtualcluster.Node]int  // those of another one hear nothing of it
	most   int
	wrong  []string
	well   map[*virtualcluster.Node]float64 // since when it could not but have a fresh word
}

func newLife(t *testing.T, seed uint64, n int, loss float64) *life {
	net, boards := fleet(t, seed, n, loss)
	l := &life{net: net, boards: boards, mute: map[*virtualcluster.Node]bool{}, group: map[*virtualcluster.Node]int{}, well: map[*virtualcluster.Node]float64{}}
	net.Cut = func(from, to *virtualcluster.Node) bool { return l.group[from] != l.group[to] }
	l.run(30)
	return l
}

func (l *life) run(seconds int) {
	for s := range seconds {
		l.net.Run(l.net.Now + 1)
		for i, node := range l.net.Nodes {
			if b := l.boards[node]; !node.Paused && !l.mute[node] && (s+i)%2 == 0 {
				b.Live(l.net.Now)
			}
		}
		out := 0
		for _, node := range l.net.Nodes {
			if node.Paused {
				continue
			}
			b, v := l.boards[node], node.Machine.View()
			b.Judge(l.net.Now, &v)
			node.Machine.SetMetadata(l.net.Now, membership.Metadata{Zone: "z", Lease: b.Lease.State()})
			if b.Lease.State() == lease.Out {
				out++
			}
			if !l.informed(node) {
				l.well[node] = l.net.Now
			} else if b.Lease.State() == lease.Out && l.net.Now > l.well[node]+healed {
				l.wrong = append(l.wrong, node.Name+": "+b.Lease.Reason)
			}
		}
		l.most = max(l.most, out)
	}
}

// healed is how long it may take until members that were cut off from each other speak again, in seconds: those held dead are
// asked every ten periods, and may take a question's loss or two.
const healed = 30

// informed says whether discovery's words have a way to a member, or to nobody among some others that it reaches.
func (l *life) informed(node *virtualcluster.Node) bool {
	others := 0
	for _, o := range l.net.Nodes {
		if !o.Paused && l.group[o] == l.group[node] {
			if !l.mute[o] {
				return true
			}
			others++
		}
	}
	return others > 1
}

// Whatever of discovery, members and ways between them is lost for a while, nobody is shut out to whom discovery's words have a way,
// nobody who is among others of whom none has one, and never more than a third.
func TestNobodyIsShutOutWrongly(t *testing.T) {
	seeds, sizes := uint64(24), []int{3, 5, 12, 30}
	if *large {
		seeds = 200
	}
	if *size > 0 {
		seeds, sizes = uint64(*sizeSeeds), []int{*size}
	}
	outs := 0
	for seed := uint64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		n := sizes[rng.IntN(len(sizes))]
		l := newLife(t, seed, n, []float64{0, 0.05, 0.2}[rng.IntN(3)])
		for range 4 {
			few := rng.Float64()
			for _, node := range l.net.Nodes {
				l.mute[node] = rng.Float64() < few
				l.group[node] = 0
			}
			switch rng.IntN(4) {
			case 0: // a few are alone
				for i := range 1 + rng.IntN(max(1, n/4)) {
					l.group[l.net.Nodes[rng.IntN(n)]] = i + 1
				}
			case 1: // two parts
				for _, node := range l.net.Nodes {
					l.group[node] = rng.IntN(2)
				}
			case 2: // everybody is alone
				for i, node := range l.net.Nodes {
					l.group[node] = i
				}
			}
			sleeper := l.net.Nodes[rng.IntN(n)]
			if rng.IntN(2) == 0 {
				l.net.Pause(sleeper)
				l.run([]int{3, 8, 20}[rng.IntN(3)])
				l.net.Resume(sleeper)
				l.boards[sleeper].Forget(l.net.Now)
				l.well[sleeper] = l.net.Now
			}
			l.run(20 + rng.IntN(60))
		}
		clear(l.group)
		clear(l.mute)
		l.run(60)
		for node, b := range l.boards {
			if b.Lease.State() != lease.Held {
				t.Errorf("seed %d: %s is %v (%s) long after all was mended", seed, node.Name, b.Lease.State(), b.Lease.Reason)
			}
		}
		if outs += l.most; l.most > lease.MaxOut(n) {
			t.Errorf("seed %d: %d of %d were out at once", seed, l.most, n)
		}
		if len(l.wrong) > 0 {
			slices.Sort(l.wrong)
			t.Errorf("seed %d of %d: wrongly out: %v", seed, n, slices.Compact(l.wrong))
		}
	}
	t.Logf("%d fleets; %d members were out at one time or another, nobody wrongly", seeds, outs)
}

// One that loses discovery, then everybody, is out, and the rest go on; back in contact, it is in again within a few periods.
func TestOneIsShutOutAndBroughtBack(t *testing.T) {
	sizes := []int{5, 30}
	if *large {
		sizes = []int{5, 30, 300}
	}
	for _, n := range sizes {
		l := newLife(t, 5, n, 0.05)
		one := l.net.Nodes[1]
		l.mute[one] = true
		l.run(60)
		if b := l.boards[one]; b.Lease.State() != lease.Held || b.Word() < l.net.Now-5 {
			t.Errorf("%d: not brought up by its peers: %v, a word %.1f s old", n, b.Lease.State(), l.net.Now-b.Word())
		}
		l.group[one] = 1
		from := l.net.Now
		for l.boards[one].Lease.State() != lease.Out && l.net.Now < from+200 {
			l.run(1)
		}
		t.Logf("%s", l.boards[one].Lease.Reason)
		t.Logf("%d members: out after %.0f periods", n, l.net.Now-from)
		if l.net.Now > from+lease.Term(5, 1)+5 || l.most != 1 {
			t.Errorf("%d members: out after %.0f periods, %d at most", n, l.net.Now-from, l.most)
		}
		l.group[one] = 0
		from = l.net.Now
		for l.boards[one].Lease.State() != lease.Held && l.net.Now < from+200 {
			l.run(1)
		}
		t.Logf("%d members: in again after %.0f periods", n, l.net.Now-from)
		if l.net.Now > from+40 {
			t.Errorf("in again after %.0f periods", l.net.Now-from)
		}
	}
}
