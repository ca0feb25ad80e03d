package simwire

import (
	"math"

	"cinderroad/loadbalancer"
)

// Codes of event records. The numbers are the simulator's.
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

// Codes of action records. The numbers are the simulator's.
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
	headerSize      = 20 // of a batch
	replyHeaderSize = 12
	listEntrySize   = 22
	firstByteRest   = 12 // of a first-byte record after the attempt; not used
	maxTextSize     = math.MaxUint16
	minRecordSize   = 2 // its code
)

// Offsets in the header of a batch, which begins with its number, and in that of a reply.
const (
	recordsOffset = 4
	sizeOffset    = 8
	clockOffset   = 12

	replySizeOffset    = 4
	replyRecordsOffset = 8
)

// Codes of results: the numbers of Linux errors.
const (
	resultOK            = 0
	resultFull          = 11  // EAGAIN
	resultReset         = 104 // ECONNRESET
	resultTimeout       = 110 // ETIMEDOUT
	resultConnectFailed = 111 // ECONNREFUSED
	resultWithdrawn     = 114 // EALREADY
	resultCancelled     = 125 // ECANCELED
)

// resultOf maps the code of a result.
func resultOf(code uint16) loadbalancer.Result {
	switch code {
	case resultOK:
		return loadbalancer.OK
	case resultFull:
		return loadbalancer.Rejected
	case resultTimeout:
		return loadbalancer.Timeout
	case resultConnectFailed:
		return loadbalancer.ConnectFailed
	case resultReset:
		return loadbalancer.Reset
	case resultCancelled:
		return loadbalancer.Cancelled
	case resultWithdrawn:
		return loadbalancer.Withdrawn
	}
	return loadbalancer.Error // 5 (EIO) and unknown codes: the job may have run
}
