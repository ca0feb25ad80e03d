package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"sync"
	"time"
)

const (
	// maxPages is the greatest number of pages of one list.
	maxPages = 1000
	// maxPageBytes is the greatest size of a page's body.
	maxPageBytes = 4 << 20
	// readBufferBytes is the size of the connection's read buffer, and so the greatest length of a header line.
	readBufferBytes = 4 << 10
	// defaultTimeout is the timeout of one call if the options name none.
	defaultTimeout = time.Second
)

// RateLimitedError says that the platform rejects further calls for now. RetryAfter is 0 if the platform did not say
// for how long.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error says what happened and what an operator can do.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("discovery: the platform takes no more calls for now (429); wait %v and call less often",
		e.RetryAfter)
}

// StatusError says that the platform responded with a status other than 200 and 429.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery: the platform answered %d instead of its list", e.Status)
}

// EndlessPaginationError says that the pages of the list do not end. Token is the page token that came twice, or the
// last one of too many.
type EndlessPaginationError struct{ Token string }

// Error says what happened.
func (e *EndlessPaginationError) Error() string {
	return fmt.Sprintf("discovery: the pages of the platform's list do not end; token %q came again or too many came",
		e.Token)
}

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Address netip.AddrPort
	Timeout time.Duration // of one call, including the connection's setup; 0: one second
	// AllowCall is called right before each call to the platform and rejects it by an error, which List returns; nil:
	// all calls are made.
	AllowCall func() error
	// OnSkippedEntries is called from within List for each page with entries that were skipped; nil: they are not
	// reported.
	OnSkippedEntries func(*SkippedEntriesError)
}

// Client reads the platform's list over one connection, which stays open between calls. It is safe for concurrent use;
// calls run one after the other.
type Client struct {
	options ClientOptions

	mutex      sync.Mutex
	connection net.Conn
	reader     *bufio.Reader
	calls      uint64
}

// NewClient returns a client, which connects with its first call.
func NewClient(options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	return &Client{options: options}
}

// List returns the list of all zones, all pages of it. Each page is a call of its own. Errors may wrap a
// *RateLimitedError, *StatusError, *MalformedResponseError, *MalformedListError or *EndlessPaginationError.
func (c *Client) List(ctx context.Context) ([]Runner, error) { return c.ListZone(ctx, "") }

// ListZone returns the list of one zone, or of all zones if zone is empty.
func (c *Client) ListZone(ctx context.Context, zone string) ([]Runner, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var runners []Runner
	token := ""
	seen := map[string]bool{}
	for range maxPages {
		body, err := c.fetchPage(ctx, zone, token)
		if err != nil {
			return nil, err
		}
		page, next, err := DecodeList(body)
		if err := c.reportSkipped(err); err != nil {
			return nil, err
		}
		runners = append(runners, page...)
		if next == "" {
			return deduplicate(runners), nil
		}
		if seen[next] {
			return nil, &EndlessPaginationError{Token: next}
		}
		seen[next] = true
		token = next
	}
	return nil, &EndlessPaginationError{Token: token}
}

// CallCount returns the number of calls that were sent to the platform so far.
func (c *Client) CallCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls
}

// Close closes the connection. The client may be used again.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disconnect()
}

// reportSkipped reports skipped entries and returns any other error.
func (c *Client) reportSkipped(err error) error {
	var skipped *SkippedEntriesError
	if !errors.As(err, &skipped) {
		return err
	}
	if c.options.OnSkippedEntries != nil {
		c.options.OnSkippedEntries(skipped)
	}
	return nil
}

// deduplicate keeps the last of several entries with the same id, since a runner may move to a later page while the
// pages are fetched.
func deduplicate(runners []Runner) []Runner {
	positions := make(map[string]int, len(runners))
	unique := runners[:0]
	for _, runner := range runners {
		if position, known := positions[runner.ID]; known {
			unique[position] = runner
			continue
		}
		positions[runner.ID] = len(unique)
		unique = append(unique, runner)
	}
	return unique
}

// fetchPage fetches one page. If a reused connection turns out to have been closed before the response began, it tries
// once more over a new one.
func (c *Client) fetchPage(ctx context.Context, zone, token string) ([]byte, error) {
	deadline := time.Now().Add(c.options.Timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	reused := c.connection != nil
	received, final, err := c.roundTrip(ctx, deadline, requestTarget(zone, token))
	if err != nil && reused && !final && ctx.Err() == nil && time.Now().Before(deadline) {
		received, _, err = c.roundTrip(ctx, deadline, requestTarget(zone, token))
	}
	if err != nil {
		return nil, fmt.Errorf("discovery: call the platform at %v: %w", c.options.Address, err)
	}
	switch {
	case received.status == statusTooManyRequests:
		return nil, &RateLimitedError{RetryAfter: received.retryAfter}
	case received.status != statusOK:
		return nil, &StatusError{Status: received.status}
	}
	return received.body, nil
}

func requestTarget(zone, token string) string {
	query := url.Values{}
	if zone != "" {
		query.Set("zone", zone)
	}
	if token != "" {
		query.Set("page_token", token)
	}
	if len(query) == 0 {
		return "/servers"
	}
	return "/servers?" + query.Encode()
}

// roundTrip sends a request and reads its response. final says that the request must not be repeated: a part of the response
// has arrived, or AllowCall has rejected the call.
func (c *Client) roundTrip(ctx context.Context, deadline time.Time, target string) (received response, final bool, err error) {
	if err := c.connect(ctx, deadline); err != nil {
		return response{}, false, err
	}
	if c.options.AllowCall != nil {
		if err := c.options.AllowCall(); err != nil {
			return response{}, true, err
		}
	}
	connection := c.connection
	if err := connection.SetDeadline(deadline); err != nil {
		c.disconnect()
		return response{}, false, err
	}
	// A deadline in the past ends a read or write in progress once ctx ends. It may be set at any time from then on, so
	// that the connection can't be used for another call.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	c.calls++
	received, final, err = c.exchange(target)
	ended := !stop()
	if err != nil || received.closeConnection || ended {
		c.disconnect()
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return received, final, err
}

// exchange does the work of roundTrip on the open connection. The second result says whether a part of the response has
// arrived.
func (c *Client) exchange(target string) (response, bool, error) {
	request := "GET " + target + " HTTP/1.1\r\nHost: " + c.options.Address.String() + "\r\n\r\n"
	if _, err := c.connection.Write([]byte(request)); err != nil {
		return response{}, false, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return response{}, false, err
	}
	received, err := readResponse(c.reader)
	return received, true, err
}

func (c *Client) connect(ctx context.Context, deadline time.Time) error {
	if c.connection != nil {
		return nil
	}
	dialer := net.Dialer{Deadline: deadline}
	connection, err := dialer.DialContext(ctx, "tcp", c.options.Address.String())
	if err != nil {
		return err
	}
	c.connection = connection
	c.reader = bufio.NewReaderSize(connection, readBufferBytes)
	return nil
}

func (c *Client) disconnect() {
	if c.connection == nil {
		return
	}
	_ = c.connection.Close()
	c.connection = nil
	c.reader = nil
}
