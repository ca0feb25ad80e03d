package simwire

import (
	"math"

	"cinderroad/loadbalancer"
)

// Codes of event records.
const (
	eventBoot        = 256
	eventList        = 257
	eventRequest     = 258
	eventFirstByte   = 259
	eventOutcome     = 260
	eventDisconnect  = 261
	eventTimer       = 262
	eventProbeResult = 263
	eventPeer        = 264
	eventHalt        = 265
	eventProgress    = 266
	eventInstance    = 267
)

// Codes of action records.
const (
	actionSend     = 256
	actionReject   = 257
	actionFail     = 258
	actionCancel   = 259
	actionTimer    = 260
	actionProbe    = 261
	actionLog      = 264
	actionFault    = 265
	actionWatch    = 266
	actionFetch    = 267
	actionInstance = 268
)

// Sizes in bytes.
const (
	headerSize    = 20
	listEntrySize = 22
	maxTextSize   = math.MaxUint16
)

func resultOf(code uint16) loadbalancer.Result {
	switch code {
	case 0:
		return loadbalancer.OK
	case 11:
		return loadbalancer.Rejected
	case 110:
		return loadbalancer.Timeout
	case 111:
		return loadbalancer.ConnectFailed
	case 104:
		return loadbalancer.Reset
	case 125:
		return loadbalancer.Cancelled
	case 114:
		return loadbalancer.Withdrawn
	}
	return loadbalancer.Error // 5, and a code not known: the job may have run
}
