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

func parsePutval(line string) (Point, error) {
	bad := fmt.Errorf("line %q", strings.TrimSpace(line))
	rest, ok := strings.CutPrefix(strings.TrimSpace(line), `PUTVAL "`)
	id, rest, ok2 := strings.Cut(rest, `" interval=`)
	interval, value, ok3 := strings.Cut(rest, " ")
	stamp, value, ok4 := strings.Cut(value, ":")
	if !ok || !ok2 || !ok3 || !ok4 || strings.Count(id, "/") != 2 {
		return Point{}, bad
	}
	if _, err := strconv.ParseFloat(interval, 64); err != nil {
		return Point{}, bad
	}
	at, err1 := strconv.ParseFloat(stamp, 64)
	v, err2 := strconv.ParseFloat(value, 64)
	if err1 != nil || err2 != nil {
		return Point{}, bad
	}
	return Point{id, at, v}, nil
}
