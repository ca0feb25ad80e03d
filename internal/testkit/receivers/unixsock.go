package receivers

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Collectd is a fake of collectd's unixsock plug-in (collectd-unixsock(5)): it answers each PUTVAL line.
type Collectd struct {
	server
}

// NewCollectd starts one with its socket at path.
func NewCollectd(path string) (*Collectd, error) {
	c := &Collectd{server: server{network: "unix", address: path}}
	c.serve = func(conn net.Conn) { c.readLines(conn, c.reader(conn)) }
	if err := c.start(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Collectd) readLines(conn net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		answer := "0 Success: 1 value has been dispatched.\n"
		if p, err := parsePutval(line); err != nil {
			c.addMalformed("%v", err)
			answer = "-1 " + err.Error() + "\n"
		} else {
			c.addPoint(p)
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// parsePutval parses a line PUTVAL "HOST/PLUGIN/TYPE" interval=SECONDS TIME:VALUE.
func parsePutval(line string) (Point, error) {
	line = strings.TrimSpace(line)
	malformed := fmt.Errorf("line %q", line)
	rest, isPutval := strings.CutPrefix(line, `PUTVAL "`)
	id, rest, hasInterval := strings.Cut(rest, `" interval=`)
	interval, rest, hasValues := strings.Cut(rest, " ")
	stamp, number, hasTime := strings.Cut(rest, ":")
	if !isPutval || !hasInterval || !hasValues || !hasTime || strings.Count(id, "/") != 2 {
		return Point{}, malformed
	}
	if _, err := strconv.ParseFloat(interval, 64); err != nil {
		return Point{}, malformed
	}
	at, timeErr := strconv.ParseFloat(stamp, 64)
	value, valueErr := strconv.ParseFloat(number, 64)
	if timeErr != nil || valueErr != nil {
		return Point{}, malformed
	}
	return Point{Series: id, Time: at, Value: value}, nil
}
