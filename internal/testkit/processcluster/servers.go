package processcluster

import (
	"fmt"
	"net"
	"net/http"
)

// memberServers are the HTTP servers of a fake, one for each member: the fake knows by the server who sent a request.
type memberServers struct {
	servers []*http.Server
}

// listen starts a server on a free port of a loopback host, and returns its address.
func (s *memberServers) listen(host string, serve http.HandlerFunc) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("processcluster: %w", err)
	}
	server := &http.Server{Handler: serve}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close closes all servers and their connections.
func (s *memberServers) close() {
	for _, server := range s.servers {
		server.Close()
	}
}
