package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// watchTimeout is the time in seconds without input after which a watch is closed. Discovery sends a keep-alive every 2 s.
const watchTimeout = 5.0

// watch is one connection to discovery. It implements eventloop.Handler.
type watch struct {
	client       *DiscoveryClient
	address      netip.AddrPort
	conn         *eventloop.Conn
	fetchingList bool   // requests the full list before the stream: versions of another address do not compare
	headRead     bool   // the head of the stream's answer has been read
	partial      []byte // of the stream: a line without its end
	revision     int64  // of the last line
	timeout      *eventloop.Timer
}

// Values of openWatch's argument.
const (
	streamOnly    = false // continues with the changes since the revision in force, which is the same address's
	fullListFirst = true  // requests the full list before the stream: versions of another address do not compare
)

// openWatch connects to the configured address. fullList is streamOnly or fullListFirst.
func (c *DiscoveryClient) openWatch(fullList bool) *watch {
	c.Watches++
	watch := &watch{client: c, address: c.address, fetchingList: fullList}
	watch.conn = c.loop.Connect(c.address, watch)
	watch.conn.ReadFirst()
	watch.resetTimeout()
	return watch
}

func (w *watch) close() {
	w.timeout.Stop()
	w.conn.Close()
}

// resetTimeout restarts the timeout after input.
func (w *watch) resetTimeout() {
	w.timeout.Stop()
	w.timeout = w.client.loop.At(w.client.loop.Now()+watchTimeout, func() {
		w.fail(errors.New("platform: no input from discovery in time"))
	})
}

// fail closes the watch and schedules the next one, at the address that is configured then.
func (w *watch) fail(err error) {
	client := w.client
	w.close()
	client.log.Warn("discovery: watch ended, reconnecting",
		zap.Stringer("discovery", w.address),
		zap.Int64("rev", client.revision),
		zap.Error(err))
	if w == client.current {
		client.current = nil
		if client.pending != nil || w.address != client.address {
			return // the old address has closed; the new one has a watch
		}
	} else {
		client.pending = nil
	}
	client.retryTimer.Stop()
	client.retryTimer = client.loop.At(client.loop.Now()+client.retryDelay(err), func() {
		if w.fetchingList {
			client.pending = client.openWatch(fullListFirst)
		} else {
			client.current = client.openWatch(streamOnly)
		}
	})
}

// Opened implements eventloop.Handler.
func (w *watch) Opened(*eventloop.Conn) { w.sendRequest() }

// Closed implements eventloop.Handler.
func (w *watch) Closed(c *eventloop.Conn, err error) {
	if w.fetchingList && len(c.Bytes()) > 0 && w.readList(streamEnded) == nil {
		return
	}
	w.fail(err)
}

// Data implements eventloop.Handler.
func (w *watch) Data(*eventloop.Conn) {
	w.resetTimeout()
	w.client.lastContact = w.client.loop.Now()
	if w.client.OnContact != nil {
		w.client.OnContact()
	}
	read := w.readStream
	if w.fetchingList {
		read = func() error { return w.readList(streamOpen) }
	}
	if err := read(); err != nil {
		w.fail(err)
	}
}

// sendRequest requests the full list, or the stream of changes since the revision.
func (w *watch) sendRequest() {
	query := fmt.Sprintf("?stream=1&index=%d", w.client.revision)
	if w.fetchingList {
		query = ""
	}
	w.conn.Write(fmt.Appendf(nil, "GET /catalog/members%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.address))
}

// readList reads the full list of a new address and continues with the stream. ended is as for
// ParseResponse.
func (w *watch) readList(ended bool) error {
	client := w.client
	response, size, err := parseResponse(w.conn.Bytes(), ended, MaxList)
	if errors.Is(err, ErrIncomplete) && !ended {
		return nil
	}
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return responseError(strconv.Itoa(response.Status), response.Header)
	}
	list, bad, err := ParseList(response.Body)
	if err == nil && !list.Full {
		err = errors.New("platform: list is not the full one")
	}
	if err != nil {
		client.BadLines++
		return err
	}
	w.conn.Consume(size)
	if client.current != nil {
		client.current.close()
	}
	client.current = w
	client.pending = nil
	client.failures = 0
	w.fetchingList = false
	client.log.Info("discovery: switched to the new address", zap.Stringer("discovery", w.address), zap.Int64("rev", list.Revision))
	client.countBadEntries(bad)
	client.apply(w.address, list, loadbalancer.ListFull)
	client.notifyFirstContact()
	if response.Close || ended {
		w.close()
		client.current = client.openWatch(streamOnly)
		return nil
	}
	w.sendRequest()
	return nil
}

// readStream reads what has come of the stream.
func (w *watch) readStream() error {
	if !w.headRead {
		if err := w.readHead(); err != nil || !w.headRead {
			return err
		}
	}
	for {
		chunk, size, last, err := ParseChunk(w.conn.Bytes(), MaxList)
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if last {
			return errors.New("platform: watch ended by discovery")
		}
		w.partial = append(w.partial, chunk...)
		w.conn.Consume(size)
		if err := w.handleLines(); err != nil {
			return err
		}
		if len(w.partial) > MaxList {
			return errors.New("platform: watch line too long")
		}
	}
}

// readHead reads the head of the stream's answer, once it is complete.
func (w *watch) readHead() error {
	line, header, size, err := parseHead(w.conn.Bytes())
	if errors.Is(err, ErrIncomplete) {
		return nil
	}
	if err != nil {
		return err
	}
	status := strings.TrimPrefix(line, "HTTP/1.1 ")
	if !strings.HasPrefix(status, "200") || header.Get("Transfer-Encoding") == "" {
		return responseError(status, header)
	}
	w.conn.Consume(size)
	w.headRead = true
	return nil
}

// handleLines handles the complete lines of what was read.
func (w *watch) handleLines() error {
	for {
		line, rest, complete := bytes.Cut(w.partial, []byte("\n"))
		if !complete {
			return nil
		}
		w.partial = rest
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if err := w.handleLine(line); err != nil {
			return err
		}
	}
}

// handleLine puts one line in force. A line that is malformed or older than the one before is counted and ends the watch:
// a change may have been in it, so the next watch requests what has changed since the list in force.
func (w *watch) handleLine(line []byte) error {
	client := w.client
	list, bad, err := ParseList(line)
	if err == nil && list.Revision < w.revision {
		err = fmt.Errorf("platform: list: version %d after %d", list.Revision, w.revision)
	}
	if err != nil {
		client.BadLines++
		client.log.Warn("discovery: invalid update ignored, keeping the current list", zap.Error(err), zap.Int("bytes", len(line)))
		return err
	}
	client.countBadEntries(bad)
	w.revision = list.Revision
	client.failures = 0
	kind := loadbalancer.ListDelta
	if list.Full {
		kind = loadbalancer.ListFull
	}
	client.apply(w.address, list, kind)
	client.notifyFirstContact()
	return nil
}
