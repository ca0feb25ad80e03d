package rpc

import "time"

// ClientOptions configures a Client. Zero fields have the defaults.
type ClientOptions struct {
	// DialTimeout bounds the set-up of a connection; default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline; default 3 s.
	CallTimeout time.Duration
	// TCPUserTimeout closes the connection if sent bytes stay unacknowledged, or a write makes no progress, for so long;
	// default 3 s. Shorter values find dead peers sooner and break connections on lossy links.
	TCPUserTimeout time.Duration
	// DialBackoff is the pause after a failed dial, doubled with each further one up to 8 times this; default 100 ms.
	DialBackoff time.Duration
	// MaxPendingSends bounds the unanswered calls of Call.Send; default 16.
	MaxPendingSends int
	// MaxReplyBytes bounds the encoded size of a reply, a larger one closes the connection; default 64 MiB.
	MaxReplyBytes int64
}

const (
	defaultDialTimeout     = time.Second
	defaultCallTimeout     = 3 * time.Second
	defaultTCPUserTimeout  = 3 * time.Second
	defaultDialBackoff     = 100 * time.Millisecond
	defaultMaxPendingSends = 16
	defaultMaxReplyBytes   = 64 << 20
	maxDialBackoffFactor   = 8 // of ClientOptions.DialBackoff
)

func (o *ClientOptions) setDefaults() {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.TCPUserTimeout, defaultTCPUserTimeout)
	setDefault(&o.DialBackoff, defaultDialBackoff)
	setDefault(&o.MaxPendingSends, defaultMaxPendingSends)
	setDefault(&o.MaxReplyBytes, defaultMaxReplyBytes)
}

// ServerLimits bounds the resources of a server. Zero fields have the defaults.
type ServerLimits struct {
	// MaxConnections bounds the open connections, more are closed at once; default 256.
	MaxConnections int
	// MaxCallsPerConnection bounds the unanswered calls of a connection, more are not read yet; default 32.
	MaxCallsPerConnection int
	// MaxRequestBytes bounds the encoded size of a request, a larger one closes the connection; default 64 MiB.
	MaxRequestBytes int64
	// WriteTimeout closes the connection of a caller that reads nothing for so long; default 3 s.
	WriteTimeout time.Duration
}

const (
	defaultMaxConnections        = 256
	defaultMaxCallsPerConnection = 32
	defaultMaxRequestBytes       = 64 << 20
	defaultWriteTimeout          = 3 * time.Second
)

func (l *ServerLimits) setDefaults() {
	setDefault(&l.MaxConnections, defaultMaxConnections)
	setDefault(&l.MaxCallsPerConnection, defaultMaxCallsPerConnection)
	setDefault(&l.MaxRequestBytes, defaultMaxRequestBytes)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}
