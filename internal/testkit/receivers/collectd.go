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

func floatFromBits(bits uint64) float64 { return math.Float64frombits(bits) }

// The parts of the binary protocol (https://github.com/collectd/collectd/wiki/Binary-protocol).
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

// CollectdNetwork is a stand-in for collectd's network plug-in as a server: UDP, with the securities none, sign and encrypt.
type CollectdNetwork struct {
	Store
	security  string
	passwords map[string]string

	mutex   sync.Mutex
	socket  *net.UDPConn
	address string
	largest int
	packets int
}

// NewCollectdNetwork starts one at an address. It takes packets of at least a security: a user's password is told by name.
func NewCollectdNetwork(addr, security string, passwords map[string]string) (*CollectdNetwork, error) {
	n := &CollectdNetwork{address: addr, security: security, passwords: passwords}
	return n, n.Restart()
}

// Restart listens, again at the same address.
func (n *CollectdNetwork) Restart() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	addr, err := net.ResolveUDPAddr("udp", n.address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	if n.socket, err = net.ListenUDP("udp", addr); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	_ = n.socket.SetReadBuffer(4 << 20)
	n.address = n.socket.LocalAddr().String()
	go n.serve(n.socket)
	return nil
}

// Stop listens no more until Back: the system refuses what comes.
func (n *CollectdNetwork) Stop() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.socket.Close()
}

// Addr is where it listens.
func (n *CollectdNetwork) Addr() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.address
}

// Packets is how many packets came, and the size of the largest.
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
	errShort    = errors.New("standin: packet cut short")
	errSecurity = errors.New("standin: packet is not protected as it must be")
	errKey      = errors.New("standin: wrong user or password")
)

// DecodePacket reads a packet that must have at least a security: none, sign or encrypt. What was unprotected is not taken where
// it must be.
func DecodePacket(b []byte, security string, passwords map[string]string) ([]Point, error) {
	return decodeParts(b, map[string]int{"none": 0, "sign": 1, "encrypt": 2}[security], 0, passwords)
}

func decodeParts(b []byte, required, protection int, passwords map[string]string) (points []Point, err error) {
	var host, plugin, pluginInstance, kind, instance string
	time := 0.0
	for len(b) > 0 {
		if len(b) < 4 {
			return points, errShort
		}
		part, size := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if size < 4 || size > len(b) {
			return points, errShort
		}
		body := b[4:size]
		b = b[size:]
		if protection < required && part != partSign && part != partEncrypt {
			return points, errSecurity
		}
		switch part {
		case partHost, partPlugin, partPluginInstance, partType, partTypeInstance:
			text, ok := bytes.CutSuffix(body, []byte{0})
			if !ok {
				return points, errShort
			}
			*map[uint16]*string{partHost: &host, partPlugin: &plugin, partPluginInstance: &pluginInstance, partType: &kind,
				partTypeInstance: &instance}[part] = string(text)
		case partTime, partTimeHR, partInterval, partIntervalHR:
			if len(body) != 8 {
				return points, errShort
			}
			v := float64(binary.BigEndian.Uint64(body))
			if part == partTimeHR {
				v /= 1 << 30
			}
			if part == partTime || part == partTimeHR {
				time = v
			}
		case partValues:
			values, err := decodeValues(body)
			if err != nil {
				return points, err
			}
			name := host + "/" + plugin
			if pluginInstance != "" {
				name += "-" + pluginInstance
			}
			for _, v := range values {
				points = append(points, Point{name + "/" + kind + "-" + instance, time, v})
			}
		case partSign:
			if len(body) < 32 {
				return points, errShort
			}
			password, known := passwords[string(body[32:])]
			mac := hmac.New(sha256.New, []byte(password))
			mac.Write(body[32:])
			mac.Write(b)
			if !known || !hmac.Equal(mac.Sum(nil), body[:32]) {
				return points, errKey
			}
			more, err := decodeParts(b, required, max(protection, 1), passwords)
			return append(points, more...), err
		case partEncrypt:
			if len(body) < 2 || len(body) < 2+int(binary.BigEndian.Uint16(body))+16+20 {
				return points, errShort
			}
			n := int(binary.BigEndian.Uint16(body))
			password, known := passwords[string(body[2:2+n])]
			key := sha256.Sum256([]byte(password))
			block, err := aes.NewCipher(key[:])
			if err != nil {
				return points, err
			}
			plain := make([]byte, len(body)-2-n-16)
			cipher.NewOFB(block, body[2+n:2+n+16]).XORKeyStream(plain, body[2+n+16:])
			if sum := sha1.Sum(plain[20:]); !known || !bytes.Equal(sum[:], plain[:20]) {
				return points, errKey
			}
			more, err := decodeParts(plain[20:], required, 2, passwords)
			if points = append(points, more...); err != nil {
				return points, err
			}
		default: // parts that are not known are passed over
		}
	}
	return points, nil
}

func decodeValues(body []byte) (values []float64, err error) {
	if len(body) < 2 {
		return nil, errShort
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+9*n {
		return nil, errShort
	}
	kinds, numbers := body[2:2+n], body[2+n:]
	for i, kind := range kinds {
		v := numbers[8*i : 8*i+8]
		switch kind {
		case 0, 3: // COUNTER, ABSOLUTE
			values = append(values, float64(binary.BigEndian.Uint64(v)))
		case 1: // GAUGE, which alone is little-endian
			values = append(values, floatFromBits(binary.LittleEndian.Uint64(v)))
		case 2: // DERIVE
			values = append(values, float64(int64(binary.BigEndian.Uint64(v))))
		default:
			return nil, fmt.Errorf("standin: value of kind %d", kind)
		}
	}
	return values, nil
}
