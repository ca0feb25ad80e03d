package exporter

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math"

	"cinderroad/internal/dispatcher/telemetry"
)

// Parts of collectd's binary protocol (https://github.com/collectd/collectd/wiki/Binary-protocol). A part has a type
// and a length, two bytes each and big-endian, and a body. It applies to all values after it in the packet.
const (
	partHost         = 0x0000
	partPlugin       = 0x0002
	partType         = 0x0004
	partTypeInstance = 0x0005
	partValues       = 0x0006
	partTimeHR       = 0x0008 // in 2^-30 s, like partIntervalHR
	partIntervalHR   = 0x0009
	partSign         = 0x0200
	partEncrypt      = 0x0210

	valueGauge  = 1 // a double, the only little-endian number of the protocol
	valueDerive = 2
)

// packet builds one packet in a reused buffer. The library collectd.org writes the same bytes, which a test checks,
// but its garbage blocked the event loop for some milliseconds at 5,000 nodes.
type packet struct {
	security Security
	username string
	mac      hash.Hash
	block    cipher.Block

	host       string
	buffer     []byte // starts with headerSize bytes for the protection
	headerSize int
	timestamp  int64 // as in the last parts in buffer, like the following fields; 0 if there is none
	interval   float64
	kind       telemetry.Kind
	hasValues  bool
}

func newPacket(host string, security Security, username, password string) (*packet, error) {
	p := &packet{security: security, username: username, host: host}
	switch security {
	case SecuritySign:
		p.mac = hmac.New(sha256.New, []byte(password))
		p.headerSize = 4 + sha256.Size + len(username)
	case SecurityEncrypt:
		key := sha256.Sum256([]byte(password))
		block, err := aes.NewCipher(key[:])
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
		p.block = block
		p.headerSize = 4 + 2 + len(username) + aes.BlockSize + sha1.Size
	}
	p.clear()
	return p, nil
}

func (p *packet) clear() {
	p.buffer = append(p.buffer[:0], make([]byte, p.headerSize)...)
	p.hasValues = false
	p.timestamp = 0
	p.interval = 0
}

func appendPart(b []byte, kind uint16, size int) []byte {
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(b, kind), uint16(4+size))
}

func appendText(b []byte, kind uint16, text string) []byte {
	return append(append(appendPart(b, kind, len(text)+1), text...), 0)
}

func appendNumber(b []byte, kind uint16, v uint64) []byte {
	return binary.BigEndian.AppendUint64(appendPart(b, kind, 8), v)
}

// highResolution converts Unix milliseconds to the protocol's units of 2^-30 s.
func highResolution(ms int64) uint64 { return uint64(ms/1000)<<30 + uint64(ms%1000)<<30/1000 }

// add adds a value; false, and nothing is added, if there is no room.
func (p *packet) add(series telemetry.Series, timestamp int64, interval, value float64) bool {
	sizeBefore := len(p.buffer)
	b := p.buffer
	if !p.hasValues {
		b = appendText(appendText(b, partHost, p.host), partPlugin, "cinderroad")
	}
	if !p.hasValues || p.kind != series.Kind {
		b = appendText(b, partType, typeOf(series.Kind))
	}
	b = appendPart(b, partTypeInstance, len(series.Name)+1)
	for i := range len(series.Name) { // typeInstance without the allocation
		c := series.Name[i]
		if c == '.' {
			c = '_'
		}
		b = append(b, c)
	}
	b = append(b, 0)
	if p.timestamp != timestamp {
		b = appendNumber(b, partTimeHR, highResolution(timestamp))
	}
	if p.interval != interval {
		b = appendNumber(b, partIntervalHR, uint64(interval*(1<<30)))
	}
	b = binary.BigEndian.AppendUint16(appendPart(b, partValues, 2+9), 1)
	if series.Kind == telemetry.Counter {
		b = binary.BigEndian.AppendUint64(append(b, valueDerive), uint64(int64(value)))
	} else {
		b = binary.LittleEndian.AppendUint64(append(b, valueGauge), math.Float64bits(value))
	}
	if len(b) > packetSize {
		p.buffer = b[:sizeBefore]
		return false
	}
	p.buffer = b
	p.hasValues = true
	p.kind = series.Kind
	p.timestamp = timestamp
	p.interval = interval
	return true
}

// protect signs or encrypts the packet and returns its bytes, which are valid until the next clear.
func (p *packet) protect() []byte {
	switch p.security {
	case SecuritySign: // the checksum covers the user name and everything after it
		head := appendPart(p.buffer[:0], partSign, sha256.Size+len(p.username))
		copy(p.buffer[len(head)+sha256.Size:], p.username)
		p.mac.Reset()
		p.mac.Write(p.buffer[len(head)+sha256.Size:])
		p.mac.Sum(p.buffer[:len(head)])
	case SecurityEncrypt: // the checksum covers what follows it and is encrypted, too
		head := appendPart(p.buffer[:0], partEncrypt, len(p.buffer)-4)
		head = append(binary.BigEndian.AppendUint16(head, uint16(len(p.username))), p.username...)
		iv, secret := p.buffer[len(head):len(head)+aes.BlockSize], p.buffer[len(head)+aes.BlockSize:]
		_, _ = rand.Read(iv) // never fails
		sum := sha1.Sum(secret[sha1.Size:])
		copy(secret, sum[:])
		//lint:ignore SA1019 the protocol is of 2010 and knows no other mode
		cipher.NewOFB(p.block, iv).XORKeyStream(secret, secret)
	}
	return p.buffer
}
