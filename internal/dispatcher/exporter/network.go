package exporter

import (
	"errors"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

// packetSize is how many bytes a packet has at most: what collectd's own network plug-in sends by default.
const packetSize = 1452

const (
	networkPause = 0.0005 // seconds between two slices: a receiver's socket buffer holds some hundred packets
	refusedAfter = 0.05   // seconds in which a refusal of the last packet would come back
)

// Security is how packets are protected.
type Security uint8

// The securities: HMAC-SHA-256 over each packet, or AES-256 in OFB mode with a SHA-1 checksum inside.
const (
	SecurityNone Security = iota
	SecuritySign
	SecurityEncrypt
)

// CollectdNetworkOptions say how a collectd server is served.
type CollectdNetworkOptions struct {
	Address            netip.AddrPort
	Security           Security
	Username, Password string
}

// CollectdNetwork delivers by collectd's binary network protocol, over UDP.
type CollectdNetwork struct {
	sender
	options CollectdNetworkOptions
	socket  *eventloop.UDPSender
	packet  *packet
	at      uint64
	period  *telemetry.Period
	reader  *telemetry.Reader
	sealed  []byte // waits for room
	series  telemetry.Series
	v       float64
	more    bool // series and v wait for a packet
}

// NewCollectdNetwork makes an output; Feed.Attach starts it.
func NewCollectdNetwork(o CollectdNetworkOptions) *CollectdNetwork {
	return &CollectdNetwork{options: o}
}

// Name implements Output.
func (o *CollectdNetwork) Name() string { return "collectd " + o.options.Address.String() }

// Kind implements Output.
func (o *CollectdNetwork) Kind() string { return "collectd" }

func (o *CollectdNetwork) start(f *Exporter, place *telemetry.Cursor) { o.begin(f, place) }

func (o *CollectdNetwork) stop() {
	o.rest()
	o.drop()
}

func (o *CollectdNetwork) drop() {
	if o.socket != nil {
		o.socket.Close()
	}
	o.socket, o.packet, o.period, o.reader, o.sealed, o.more = nil, nil, nil, nil, nil, false
}

func (o *CollectdNetwork) wake() {
	if !o.free() || o.period != nil {
		return
	}
	p, n := o.feed.from(o.place.Next())
	if p == nil {
		return
	}
	var err error
	if o.socket == nil {
		if o.socket, err = o.feed.loop.ConnectUDP(o.options.Address); err != nil {
			o.broke(err)
			return
		}
	}
	if o.packet == nil {
		if o.packet, err = newPacket(telemetry.SanitizeName(o.feed.options.DispatcherName), o.options.Security, o.options.Username, o.options.Password); err != nil {
			o.broke(err)
			return
		}
	}
	o.period, o.reader, o.at = p, p.Read(), n
	o.soon(0, o.pump)
}

// pump sends some points a turn.
func (o *CollectdNetwork) pump() {
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
func (o *CollectdNetwork) send() (done bool, err error) {
	if err := o.flush(); err != nil {
		return false, err
	}
	for range slice {
		if !o.more {
			if o.series, o.v, o.more = o.reader.Next(); !o.more {
				o.ended(o.reader)
				return true, o.seal()
			}
			o.state.Points++
		}
		if o.packet.add(o.series, o.period.Timestamp, o.period.Interval, o.v) {
			o.more = false
			continue
		}
		if !o.packet.some { // it fits into no packet
			o.state.RejectedPoints++
			o.more = false
			continue
		}
		if err := o.seal(); err != nil {
			return false, err
		}
	}
	return false, nil
}

// seal ends the packet and sends it.
func (o *CollectdNetwork) seal() error {
	if !o.packet.some {
		return nil
	}
	o.sealed = o.packet.seal()
	return o.flush()
}

func (o *CollectdNetwork) flush() error {
	if o.sealed == nil {
		return nil
	}
	if err := o.socket.Send(o.sealed); err != nil {
		return err
	}
	o.sealed = nil
	o.packet.clear()
	return nil
}

// settle takes the period as delivered, unless a refusal has come back.
func (o *CollectdNetwork) settle() {
	if o.period == nil {
		return
	}
	if err := o.socket.PendingError(); err != nil {
		o.broke(err)
		return
	}
	n, stamp := o.at, o.period.Timestamp
	o.period, o.reader, o.pause = nil, nil, 0
	o.state.Periods++
	o.feed.took(o, n, stamp)
	o.wake()
}

func (o *CollectdNetwork) broke(err error) {
	o.feed.log.Debug("metrics: collectd", zap.Stringer("address", o.options.Address), zap.Error(err))
	o.drop()
	o.again(o.wake)
}
