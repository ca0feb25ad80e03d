package exporter

import (
	"errors"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

// packetSize is the maximum size of a packet, the default of collectd's own network plug-in.
const packetSize = 1452

const (
	sendPause     = 0.0005 // seconds between two slices; a receiver's socket buffer holds some hundred packets
	rejectionWait = 0.05   // seconds to wait for an ICMP rejection of the last packet
)

// Security is the protection of packets.
type Security uint8

// The protections: HMAC-SHA-256 over each packet, or AES-256 in OFB mode with a SHA-1 checksum inside.
const (
	SecurityNone Security = iota
	SecuritySign
	SecurityEncrypt
)

// CollectdNetworkOptions configure the output to a collectd server.
type CollectdNetworkOptions struct {
	Address            netip.AddrPort
	Security           Security
	Username, Password string
}

// CollectdNetwork delivers by collectd's binary network protocol over UDP. There are no acknowledgements: a period
// counts as delivered unless the system reports a rejection.
type CollectdNetwork struct {
	outputBase
	options       CollectdNetworkOptions
	socket        *eventloop.UDPSender
	packet        *packet
	currentPeriod uint64
	period        *telemetry.Period
	reader        *telemetry.Reader
	unsent        []byte // complete packet that the socket had no room for
	series        telemetry.Series
	value         float64
	pending       bool // series and value didn't fit into the last packet
}

// NewCollectdNetwork returns an output; Exporter.AddOutput starts it.
func NewCollectdNetwork(o CollectdNetworkOptions) *CollectdNetwork {
	return &CollectdNetwork{options: o}
}

// Name implements Output.
func (o *CollectdNetwork) Name() string { return "collectd " + o.options.Address.String() }

// Kind implements Output.
func (o *CollectdNetwork) Kind() string { return "collectd" }

func (o *CollectdNetwork) start(exporter *Exporter, cursor *telemetry.Cursor) {
	o.init(exporter, cursor)
}

func (o *CollectdNetwork) stop() {
	o.stopTimer()
	o.disconnect()
}

func (o *CollectdNetwork) disconnect() {
	if o.socket != nil {
		o.socket.Close()
	}
	o.socket = nil
	o.packet = nil
	o.period = nil
	o.reader = nil
	o.unsent = nil
	o.pending = false
}

func (o *CollectdNetwork) wake() {
	if !o.canStart() || o.period != nil {
		return
	}
	period, number := o.exporter.periodFrom(o.cursor.Next())
	if period == nil {
		return
	}
	var err error
	if o.socket == nil {
		if o.socket, err = o.exporter.loop.ConnectUDP(o.options.Address); err != nil {
			o.attemptFailed(err)
			return
		}
	}
	if o.packet == nil {
		host := telemetry.SanitizeName(o.exporter.options.DispatcherName)
		if o.packet, err = newPacket(host, o.options.Security, o.options.Username, o.options.Password); err != nil {
			o.attemptFailed(err)
			return
		}
	}
	o.period = period
	o.reader = period.Read()
	o.currentPeriod = number
	o.schedule(0, o.sendMore)
}

// sendMore sends some points in each iteration of the event loop.
func (o *CollectdNetwork) sendMore() {
	if o.period == nil {
		return
	}
	wait := sendPause
	switch done, err := o.send(); {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.ENOBUFS):
		wait = pollPause
	case err != nil:
		o.attemptFailed(err)
		return
	case done:
		o.schedule(rejectionWait, o.finishPeriod)
		return
	}
	o.schedule(wait, o.sendMore)
}

// send renders a slice of points and sends the packets that are full.
func (o *CollectdNetwork) send() (done bool, err error) {
	if err := o.sendUnsent(); err != nil {
		return false, err
	}
	for range pointsPerIteration {
		if !o.pending {
			o.series, o.value, o.pending = o.reader.Next()
			if !o.pending {
				o.logTruncated(o.reader)
				return true, o.sendPacket()
			}
			o.stats.Points++
		}
		if o.packet.add(o.series, o.period.Timestamp, o.period.Interval, o.value) {
			o.pending = false
			continue
		}
		if !o.packet.hasValues { // it doesn't fit into any packet
			o.stats.RejectedPoints++
			o.pending = false
			continue
		}
		if err := o.sendPacket(); err != nil {
			return false, err
		}
	}
	return false, nil
}

// sendPacket protects the current packet and sends it.
func (o *CollectdNetwork) sendPacket() error {
	if !o.packet.hasValues {
		return nil
	}
	o.unsent = o.packet.protect()
	return o.sendUnsent()
}

func (o *CollectdNetwork) sendUnsent() error {
	if o.unsent == nil {
		return nil
	}
	if err := o.socket.Send(o.unsent); err != nil {
		return err
	}
	o.unsent = nil
	o.packet.clear()
	return nil
}

// finishPeriod acknowledges the period, unless a rejection has arrived.
func (o *CollectdNetwork) finishPeriod() {
	if o.period == nil {
		return
	}
	if err := o.socket.PendingError(); err != nil {
		o.attemptFailed(err)
		return
	}
	number, timestamp := o.currentPeriod, o.period.Timestamp
	o.period = nil
	o.reader = nil
	o.retryDelay = 0
	o.stats.Periods++
	o.exporter.acknowledge(o, number, timestamp)
	o.wake()
}

func (o *CollectdNetwork) attemptFailed(err error) {
	o.exporter.log.Debug("exporter: failed to send to collectd", zap.Stringer("address", o.options.Address), zap.Error(err))
	o.disconnect()
	o.retryLater(o.wake)
}
