package receivers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// UDPRelay is a relay for UDP with a port of its own: what comes there goes on to a member. Who sent it is told by the
// first bytes, which From reads; each directed way has a Link of its own.
type UDPRelay struct {
	Name string
	// SenderOf says who sent a datagram; "" is not known.
	SenderOf func(b []byte) string

	socket *net.UDPConn
	output *net.UDPConn
	target *net.UDPAddr
	log    Log

	mutex     sync.Mutex
	random    *rand.Rand
	links     map[string]Link // by sender; "" for all that have none of their own
	reordered []byte          // waits for the next one to pass
	counts    struct{ Passed, Dropped, Repeated, Held int }
}

// NewUDPRelay opens a relay to an address, which need not exist yet.
func NewUDPRelay(name string, target netip.AddrPort, seed uint64, log Log) (*UDPRelay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("standin: %w", err)
	}
	d := &UDPRelay{Name: name, socket: conn, output: out, target: net.UDPAddrFromAddrPort(target), log: log, random: rand.New(rand.NewPCG(seed, 0)),
		links: map[string]Link{}}
	go d.run()
	return d, nil
}

// Addr is the relay's port: what the member advertises.
func (d *UDPRelay) Addr() string { return d.socket.LocalAddr().String() }

// SetLink sets the way from a sender; "" sets that of all who have none of their own.
func (d *UDPRelay) SetLink(from string, link Link) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.links[from] = link
	d.log(fmt.Sprintf("link %s -> %s: %+v", from, d.Name, link))
}

// ClearLinks has every way pass everything again.
func (d *UDPRelay) ClearLinks() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.links)
	d.log("links -> " + d.Name + ": clear")
}

// Close ends the relay and tells the log what it did.
func (d *UDPRelay) Close() {
	d.socket.Close()
	d.output.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.log(fmt.Sprintf("datagrams -> %s: %+v", d.Name, d.counts))
}

func (d *UDPRelay) run() {
	buf := make([]byte, 65536)
	for {
		n, _, err := d.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		d.forward(append([]byte(nil), buf[:n]...))
	}
}

func (d *UDPRelay) forward(b []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	from := ""
	if d.SenderOf != nil {
		from = d.SenderOf(b)
	}
	link, own := d.links[from]
	if !own {
		link = d.links[""]
	}
	if link.Blackhole || link.Resets || link.LossRate > 0 && d.random.Float64() < link.LossRate {
		d.counts.Dropped++
		return
	}
	times := 1
	if link.DuplicateRate > 0 && d.random.Float64() < link.DuplicateRate {
		times = 2
		d.counts.Repeated++
	}
	if link.ReorderRate > 0 && d.reordered == nil && d.random.Float64() < link.ReorderRate {
		d.reordered = b
		d.counts.Held++
		return
	}
	queue := [][]byte{b}
	if d.reordered != nil {
		queue, d.reordered = append(queue, d.reordered), nil
	}
	for range times {
		wait := link.Delay
		if link.Jitter > 0 {
			wait += time.Duration(d.random.Int64N(int64(link.Jitter)))
		}
		for _, b := range queue {
			d.counts.Passed++
			if wait == 0 {
				_, _ = d.output.WriteToUDP(b, d.target)
			} else {
				time.AfterFunc(wait, func() { _, _ = d.output.WriteToUDP(b, d.target) })
			}
		}
	}
}
