package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cinderroad/internal/dispatcher/cluster"
)

const (
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 8 << 20
)

// consoleClient holds the flags that the fleet commands share, and calls the operators' API of dispatchers.
type consoleClient struct {
	console string // address of the admin server of the dispatcher that is queried first
	asJSON  bool
}

// status queries an admin server for the view of the cluster that its dispatcher has.
func (client *consoleClient) status(console string) (*cluster.Status, error) {
	text, err := callConsole(console, "GET", "/api/fleet", "")
	if err != nil {
		return nil, err
	}
	s := &cluster.Status{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", console, err)
	}
	return s, nil
}

// callConsole makes one call at an admin server, and returns the body of its answer. Any status but 200 is an
// error that quotes the body.
func callConsole(console, method, path, body string) ([]byte, error) {
	if console == "" {
		return nil, errors.New("fleet: no admin server given: set --console ADDRESS or $ROUTER_CONSOLE")
	}
	request, err := http.NewRequest(method, "http://"+console+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fleet: no answer: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", console, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fleet: request rejected by %s: %s", console, strings.TrimSpace(string(text)))
	}
	return text, nil
}
