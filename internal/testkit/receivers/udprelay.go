package receivers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// UDPRelay forwards datagrams to a target. Each sender has a Link of its own.
type UDPRelay struct {
	Name string
	// SenderOf identifies the sender of a datagram by its contents; empty if unknown. It must be set before the
	// first datagram arrives.
	SenderOf func(b []byte) string

	socket *net.UDPConn
	output *net.UDPConn
	target *net.UDPAddr
	log    Log

	mutex     sync.Mutex
	random    *rand.Rand
	links     map[string]Link // by sender; "" for senders without their own
	reordered []byte          // held back until after the next one
	counts    struct{ Passed, Dropped, Repeated, Held int }
}

// NewUDPRelay starts a relay to a target, which need not listen yet. seed determines the random faults.
func NewUDPRelay(name string, target netip.AddrPort, seed uint64, log Log) (*UDPRelay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("receivers: %w", err)
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("receivers: %w", err)
	}
	d := &UDPRelay{Name: name, socket: conn, output: out, target: net.UDPAddrFromAddrPort(target), log: log, random: rand.New(rand.NewPCG(seed, 0)),
		links: map[string]Link{}}
	go d.run()
	return d, nil
}

// Addr returns the address that the relay listens on.
func (d *UDPRelay) Addr() string { return d.socket.LocalAddr().String() }

// SetLink sets the link of a sender; "" stands for all senders without their own.
func (d *UDPRelay) SetLink(from string, link Link) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.links[from] = link
	d.log(fmt.Sprintf("link %s -> %s: %+v", from, d.Name, link))
}

// ClearLinks resets all links.
func (d *UDPRelay) ClearLinks() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.links)
	d.log("links -> " + d.Name + ": clear")
}

// Close stops the relay and logs its counts.
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
