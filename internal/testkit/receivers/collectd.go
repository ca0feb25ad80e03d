package receivers

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
)

// Part types of the binary protocol (https://github.com/collectd/collectd/wiki/Binary-protocol).
const (
	partHost           = 0x0000
	partTime           = 0x0001
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partInterval       = 0x0007
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partSign           = 0x0200
	partEncrypt        = 0x0210
)

// CollectdNetwork is a fake of collectd's network plug-in as a server, over UDP.
type CollectdNetwork struct {
	Store
	security  string
	passwords map[string]string

	mutex   sync.Mutex
	socket  *net.UDPConn
	address string
	largest int // bytes of the largest packet
	packets int
}

// NewCollectdNetwork starts one at an address. security is none, sign or encrypt, the least protection that it
// accepts; passwords are by user.
func NewCollectdNetwork(addr, security string, passwords map[string]string) (*CollectdNetwork, error) {
	n := &CollectdNetwork{address: addr, security: security, passwords: passwords}
	return n, n.Restart()
}

// Restart listens at the same address again.
func (n *CollectdNetwork) Restart() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	addr, err := net.ResolveUDPAddr("udp", n.address)
	if err != nil {
		return fmt.Errorf("receivers: %w", err)
	}
	if n.socket, err = net.ListenUDP("udp", addr); err != nil {
		return fmt.Errorf("receivers: %w", err)
	}
	_ = n.socket.SetReadBuffer(4 << 20)
	n.address = n.socket.LocalAddr().String()
	go n.serve(n.socket)
	return nil
}

// Stop closes the socket until Restart, so that the system rejects datagrams.
func (n *CollectdNetwork) Stop() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.socket.Close()
}

// Addr returns the address that it listens on.
func (n *CollectdNetwork) Addr() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.address
}

// Packets returns the number of packets received, and the size of the largest in bytes.
func (n *CollectdNetwork) Packets() (count, largest int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.packets, n.largest
}

func (n *CollectdNetwork) serve(socket *net.UDPConn) {
	b := make([]byte, 65536)
	for {
		size, _, err := socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		n.mutex.Lock()
		n.packets++
		n.largest = max(n.largest, size)
		n.mutex.Unlock()
		points, err := DecodePacket(b[:size], n.security, n.passwords)
		if err != nil {
			n.addMalformed("%v", err)
			continue
		}
		for _, p := range points {
			n.addPoint(p)
		}
	}
}

var (
	errShort    = errors.New("receivers: packet cut short")
	errSecurity = errors.New("receivers: packet is not protected as it must be")
	errKey      = errors.New("receivers: wrong user or password")
)

// The protections of a packet, the stronger ones greater.
const (
	protectionNone = iota
	protectionSigned
	protectionEncrypted
)

// protections by their names in the configuration of collectd.
var protections = map[string]int{
	"none":    protectionNone,
	"sign":    protectionSigned,
	"encrypt": protectionEncrypted,
}

// Sizes in the protocol, in bytes.
const (
	partHeaderSize = 4 // type and length, two bytes each
	numberSize     = 8
	valueSize      = 1 + numberSize // a value's kind and the value
)

// DecodePacket reads a packet that must have at least a protection: none, sign or encrypt. Parts with less protection are
// rejected. The points before the first fault are returned with the error.
func DecodePacket(b []byte, security string, passwords map[string]string) ([]Point, error) {
	d := packetDecoder{required: protections[security], passwords: passwords}
	err := d.decode(b, protectionNone)
	return d.points, err
}

// packetDecoder reads one packet.
type packetDecoder struct {
	required  int
	passwords map[string]string // by user
	points    []Point
}

// valueIdentity is what the parts before a value say about it.
type valueIdentity struct {
	host, plugin, pluginInstance, typeName, typeInstance string
	time                                                 float64 // Unix time in seconds
}

// decode reads parts that have a protection. What is inside a signed or encrypted part has an identity of its own.
func (d *packetDecoder) decode(b []byte, protection int) error {
	var identity valueIdentity
	for len(b) > 0 {
		if len(b) < partHeaderSize {
			return errShort
		}
		part := binary.BigEndian.Uint16(b)
		size := int(binary.BigEndian.Uint16(b[2:]))
		if size < partHeaderSize || size > len(b) {
			return errShort
		}
		body := b[partHeaderSize:size]
		b = b[size:]
		if protection < d.required && part != partSign && part != partEncrypt {
			return errSecurity
		}
		switch part {
		case partSign:
			return d.decodeSigned(body, b, protection)
		case partEncrypt:
			if err := d.decodeEncrypted(body); err != nil {
				return err
			}
		case partValues:
			if err := d.addValues(&identity, body); err != nil {
				return err
			}
		default:
			if err := identity.set(part, body); err != nil {
				return err
			}
		}
	}
	return nil
}

// set reads a part that says something about the values after it; unknown parts are skipped.
func (v *valueIdentity) set(part uint16, body []byte) error {
	switch part {
	case partHost, partPlugin, partPluginInstance, partType, partTypeInstance:
		text, ok := bytes.CutSuffix(body, []byte{0})
		if !ok {
			return errShort
		}
		*v.field(part) = string(text)
	case partTime, partTimeHR, partInterval, partIntervalHR:
		if len(body) != numberSize {
			return errShort
		}
		number := float64(binary.BigEndian.Uint64(body))
		switch part {
		case partTime:
			v.time = number
		case partTimeHR: // in 2^-30 s
			v.time = number / (1 << 30)
		}
	}
	return nil
}

// field returns the string that a part sets; nil for a part of another kind.
func (v *valueIdentity) field(part uint16) *string {
	switch part {
	case partHost:
		return &v.host
	case partPlugin:
		return &v.plugin
	case partPluginInstance:
		return &v.pluginInstance
	case partType:
		return &v.typeName
	case partTypeInstance:
		return &v.typeInstance
	}
	return nil
}

// addValues adds a part's values as points.
func (d *packetDecoder) addValues(identity *valueIdentity, body []byte) error {
	values, err := decodeValues(body)
	if err != nil {
		return err
	}
	name := identity.host + "/" + identity.plugin
	if identity.pluginInstance != "" {
		name += "-" + identity.pluginInstance
	}
	for _, v := range values {
		d.points = append(d.points, Point{name + "/" + identity.typeName + "-" + identity.typeInstance, identity.time, v})
	}
	return nil
}

// decodeSigned checks the signature of the rest of the packet, and reads that.
func (d *packetDecoder) decodeSigned(body, rest []byte, protection int) error {
	if len(body) < sha256.Size {
		return errShort
	}
	sum := body[:sha256.Size]
	user := body[sha256.Size:]
	password, known := d.passwords[string(user)]
	mac := hmac.New(sha256.New, []byte(password))
	mac.Write(user)
	mac.Write(rest)
	if !known || !hmac.Equal(mac.Sum(nil), sum) {
		return errKey
	}
	return d.decode(rest, max(protection, protectionSigned))
}

// decodeEncrypted decrypts a part, checks the checksum inside, and reads the parts behind that.
func (d *packetDecoder) decodeEncrypted(body []byte) error {
	if len(body) < 2 {
		return errShort
	}
	userEnd := 2 + int(binary.BigEndian.Uint16(body))
	if len(body) < userEnd+aes.BlockSize+sha1.Size {
		return errShort
	}
	password, known := d.passwords[string(body[2:userEnd])]
	key := sha256.Sum256([]byte(password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return err
	}
	iv := body[userEnd : userEnd+aes.BlockSize]
	secret := body[userEnd+aes.BlockSize:]
	plain := make([]byte, len(secret))
	cipher.NewOFB(block, iv).XORKeyStream(plain, secret)
	if sum := sha1.Sum(plain[sha1.Size:]); !known || !bytes.Equal(sum[:], plain[:sha1.Size]) {
		return errKey
	}
	return d.decode(plain[sha1.Size:], protectionEncrypted)
}

// The kinds of values.
const (
	valueCounter  = 0
	valueGauge    = 1 // the only little-endian number of the protocol
	valueDerive   = 2
	valueAbsolute = 3
)

// decodeValues reads the body of a values part: the count, the kinds, and the numbers.
func decodeValues(body []byte) (values []float64, err error) {
	if len(body) < 2 {
		return nil, errShort
	}
	count := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+valueSize*count {
		return nil, errShort
	}
	kinds := body[2 : 2+count]
	numbers := body[2+count:]
	for i, kind := range kinds {
		v := numbers[numberSize*i : numberSize*(i+1)]
		switch kind {
		case valueCounter, valueAbsolute:
			values = append(values, float64(binary.BigEndian.Uint64(v)))
		case valueGauge:
			values = append(values, math.Float64frombits(binary.LittleEndian.Uint64(v)))
		case valueDerive:
			values = append(values, float64(int64(binary.BigEndian.Uint64(v))))
		default:
			return nil, fmt.Errorf("receivers: value of kind %d", kind)
		}
	}
	return values, nil
}
