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

	socket   *net.UDPConn // receives
	output   *net.UDPConn // sends
	target   *net.UDPAddr
	senderOf SenderOf
	log      Log

	mutex     sync.Mutex
	random    *rand.Rand
	links     map[string]Link // by sender; "" for senders without their own
	reordered []byte          // held back until after the next one
	counts    struct{ Passed, Dropped, Repeated, Held int }
}

// SenderOf identifies the sender of a datagram by its contents; empty if unknown. It is called on the relay's goroutine.
type SenderOf func(b []byte) string

// NewUDPRelay starts a relay to a target, which need not listen yet. seed determines the random faults.
func NewUDPRelay(name string, target netip.AddrPort, seed uint64, senderOf SenderOf, log Log) (*UDPRelay, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("receivers: %w", err)
	}
	output, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		socket.Close()
		return nil, fmt.Errorf("receivers: %w", err)
	}
	r := &UDPRelay{
		Name:     name,
		socket:   socket,
		output:   output,
		target:   net.UDPAddrFromAddrPort(target),
		senderOf: senderOf,
		log:      log,
		random:   rand.New(rand.NewPCG(seed, 0)),
		links:    map[string]Link{},
	}
	go r.run()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *UDPRelay) Addr() string { return r.socket.LocalAddr().String() }

// SetLink sets the link of a sender; "" stands for all senders without their own.
func (r *UDPRelay) SetLink(from string, link Link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.links[from] = link
	r.log(fmt.Sprintf("link %s -> %s: %+v", from, r.Name, link))
}

// ClearLinks resets all links.
func (r *UDPRelay) ClearLinks() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.links)
	r.log("links -> " + r.Name + ": clear")
}

// Close stops the relay and logs its counts.
func (r *UDPRelay) Close() {
	r.socket.Close()
	r.output.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.log(fmt.Sprintf("datagrams -> %s: %+v", r.Name, r.counts))
}

func (r *UDPRelay) run() {
	buf := make([]byte, 65536)
	for {
		n, _, err := r.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.forward(append([]byte(nil), buf[:n]...))
	}
}

// forward applies the sender's link to a datagram.
func (r *UDPRelay) forward(b []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	link := r.linkOf(b)
	if link.Blackhole || link.Resets || r.draw(link.LossRate) {
		r.counts.Dropped++
		return
	}
	copies := 1
	if r.draw(link.DuplicateRate) {
		copies = 2
		r.counts.Repeated++
	}
	if r.reordered == nil && r.draw(link.ReorderRate) {
		r.reordered = b
		r.counts.Held++
		return
	}
	datagrams := [][]byte{b}
	if r.reordered != nil {
		datagrams = append(datagrams, r.reordered)
		r.reordered = nil
	}
	for range copies {
		delay := link.Delay
		if link.Jitter > 0 {
			delay += time.Duration(r.random.Int64N(int64(link.Jitter)))
		}
		for _, datagram := range datagrams {
			r.send(datagram, delay)
		}
	}
}

// linkOf returns the link of a datagram's sender.
func (r *UDPRelay) linkOf(b []byte) Link {
	if link, ok := r.links[r.senderOf(b)]; ok {
		return link
	}
	return r.links[""]
}

// draw returns true with a probability. It draws no number if that is 0.
func (r *UDPRelay) draw(probability float64) bool {
	return probability > 0 && r.random.Float64() < probability
}

// send sends a datagram to the target after a delay; errors are ignored, as on a network.
func (r *UDPRelay) send(b []byte, delay time.Duration) {
	r.counts.Passed++
	if delay == 0 {
		_, _ = r.output.WriteToUDP(b, r.target)
		return
	}
	time.AfterFunc(delay, func() { _, _ = r.output.WriteToUDP(b, r.target) })
}
