package metrics

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"collectd.org/api"
	"collectd.org/network"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/telemetry"
	"cinderroad/internal/transport"
)

// packetSize is how many bytes a packet has at most: what collectd's own network plug-in sends by default.
const packetSize = 1452

const (
	networkSlice = 120   // points rendered in a turn: allocations of the library make one dearer than a line
	networkPause = 0.001 // seconds between two: a receiver's socket buffer holds some hundred packets
	refusedAfter = 0.05  // seconds in which a refusal of the last packet would come back
)

// Security is how packets are protected.
type Security uint8

// The securities: HMAC-SHA-256 over each packet, or AES-256 in OFB mode with a SHA-1 checksum inside.
const (
	None Security = iota
	Sign
	Encrypt
)

// NetworkOptions say how a collectd server is served.
type NetworkOptions struct {
	Address            netip.AddrPort
	Security           Security
	Username, Password string
}

// Network delivers by collectd's binary network protocol
// (https://github.com/collectd/collectd/wiki/Binary-protocol), over UDP.
type Network struct {
	sender
	options NetworkOptions
	socket  *transport.Datagrams
	buffer  *network.Buffer
	id      api.Identifier
	at      uint64
	period  *telemetry.Period
	reader  *telemetry.Reader
	packet  []byte // waits for room
	more    *api.ValueList
}

// NewNetwork makes an output; Feed.Attach starts it.
func NewNetwork(o NetworkOptions) *Network { return &Network{options: o} }

// Name implements Output.
func (o *Network) Name() string { return "collectd " + o.options.Address.String() }

func (o *Network) start(f *Feed, place *telemetry.Place) {
	o.begin(f, place)
	o.id = api.Identifier{Host: telemetry.Clean(f.options.Host), Plugin: "cinderroad"}
}

func (o *Network) stop() {
	o.rest()
	o.drop()
}

func (o *Network) drop() {
	if o.socket != nil {
		o.socket.Close()
	}
	o.socket, o.period, o.reader, o.packet, o.more = nil, nil, nil, nil, nil
}

func (o *Network) wake() {
	if !o.free() || o.period != nil {
		return
	}
	p, n := o.feed.ring.From(o.place.After())
	if p == nil {
		return
	}
	if o.socket == nil {
		socket, err := o.feed.loop.Datagrams(o.options.Address)
		if err != nil {
			o.broke(err)
			return
		}
		o.socket = socket
	}
	o.buffer = network.NewBuffer(packetSize)
	switch o.options.Security {
	case Sign:
		o.buffer.Sign(o.options.Username, o.options.Password)
	case Encrypt:
		o.buffer.Encrypt(o.options.Username, o.options.Password)
	}
	o.period, o.reader, o.at = p, p.Read(), n
	o.pump()
}

// pump sends some points a turn.
func (o *Network) pump() {
	if o.period == nil {
		return
	}
	wait := networkPause
	switch done, err := o.send(); {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.ENOBUFS):
		wait = pollPause
	case err != nil:
		o.broke(err)
		return
	case done:
		o.soon(refusedAfter, o.settle)
		return
	}
	o.soon(wait, o.pump)
}

// send renders a slice of points and sends the packets that are full.
func (o *Network) send() (done bool, err error) {
	if err := o.flush(); err != nil {
		return false, err
	}
	for range networkSlice {
		if o.more == nil {
			s, v, ok := o.reader.Next()
			if !ok {
				if err := o.reader.Err(); err != nil {
					o.feed.log.Error("metrics: the rest of a period makes no sense, left out", zap.Error(err))
				}
				return true, o.pack()
			}
			o.more = o.list(s, v)
			o.state.Points++
		}
		err := o.buffer.Write(context.Background(), o.more)
		if errors.Is(err, network.ErrNotEnoughSpace) {
			if o.buffer.Available() == o.room() { // it fits into no packet
				o.state.Refused++
				o.more = nil
				continue
			}
			if err := o.pack(); err != nil {
				return false, err
			}
			continue
		}
		if err != nil {
			return false, err
		}
		o.more = nil
	}
	return false, nil
}

// room is what an empty packet has.
func (o *Network) room() int {
	switch o.options.Security {
	case Sign:
		return packetSize - 36 - len(o.options.Username)
	case Encrypt:
		return packetSize - 42 - len(o.options.Username)
	}
	return packetSize
}

func (o *Network) list(s telemetry.Series, v float64) *api.ValueList {
	vl := &api.ValueList{Identifier: o.id, Time: time.UnixMilli(o.period.Stamp), Interval: time.Duration(o.period.Every * float64(time.Second)),
		DSNames: []string{"value"}}
	vl.Type, vl.TypeInstance = typeOf(s.Kind), instance(s.Name)
	if s.Kind == telemetry.Counter {
		vl.Values = []api.Value{api.Derive(v)}
	} else {
		vl.Values = []api.Value{api.Gauge(v)}
	}
	return vl
}

// pack makes a packet of what is in the buffer, and sends it.
func (o *Network) pack() error {
	if o.buffer.Available() == o.room() {
		return nil
	}
	packet, err := o.buffer.Bytes()
	if err != nil {
		return err
	}
	o.packet = packet
	return o.flush()
}

func (o *Network) flush() error {
	if o.packet == nil {
		return nil
	}
	if err := o.socket.Send(o.packet); err != nil {
		return err
	}
	o.packet = nil
	return nil
}

// settle takes the period as delivered, unless a refusal has come back.
func (o *Network) settle() {
	if o.period == nil {
		return
	}
	if err := o.socket.Refused(); err != nil {
		o.broke(err)
		return
	}
	n, stamp := o.at, o.period.Stamp
	o.period, o.reader, o.pause = nil, nil, 0
	o.state.Periods++
	o.feed.took(o, n, stamp)
	o.wake()
}

func (o *Network) broke(err error) {
	o.feed.log.Debug("metrics: collectd", zap.Stringer("address", o.options.Address), zap.Error(err))
	o.drop()
	o.again(o.wake)
}
