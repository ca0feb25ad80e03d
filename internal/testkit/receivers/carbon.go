package receivers

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
)

// maxPickleBytes is carbon's own limit.
const maxPickleBytes = 1 << 20

// Carbon is a fake carbon daemon with either the line or the pickle receiver
// (https://graphite.readthedocs.io/en/latest/feeding-carbon.html).
type Carbon struct {
	server
	pickle bool
}

// NewCarbon starts one at an address, such as 127.0.0.1:0.
func NewCarbon(addr string, pickle bool) (*Carbon, error) {
	c := &Carbon{pickle: pickle, server: server{network: "tcp", address: addr}}
	c.serve = func(conn net.Conn) {
		in := c.reader(conn)
		if c.pickle {
			c.readPickles(in)
		} else {
			c.readLines(in)
		}
	}
	if err := c.start(); err != nil {
		return nil, err
	}
	return c, nil
}

// readLines reads lines. Like carbon it drops an incomplete last line.
func (c *Carbon) readLines(in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		point, ok := parseCarbonLine(line)
		if !ok {
			c.addMalformed("line %q", line)
			continue
		}
		c.addPoint(point)
	}
}

// parseCarbonLine parses a line PATH VALUE TIME.
func parseCarbonLine(line string) (point Point, ok bool) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return Point{}, false
	}
	value, valueErr := strconv.ParseFloat(fields[1], 64)
	at, timeErr := strconv.ParseFloat(fields[2], 64)
	return Point{Series: fields[0], Time: at, Value: value}, valueErr == nil && timeErr == nil
}

// readPickles reads pickles, each behind its length in four bytes.
func (c *Carbon) readPickles(in *bufio.Reader) {
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxPickleBytes {
			c.addMalformed("pickle of %d bytes", n)
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		points, err := DecodePickle(body)
		if err != nil {
			c.addMalformed("%v", err)
			continue
		}
		for _, p := range points {
			c.addPoint(p)
		}
	}
}
