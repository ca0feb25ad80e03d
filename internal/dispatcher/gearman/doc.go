// Package gearman is the dispatcher's Gearman front: it speaks the public Gearman protocol to clients, workers and
// administrators on one port and submits the jobs to the same dispatch.Dispatcher as the HTTP front.
//
// Guarantees:
//   - Every job that was acknowledged with JOB_CREATED ends exactly once, under one of the verdicts of Counts.
//   - A client sees the output of one attempt only: WORK_DATA and WORK_WARNING are buffered until the attempt that
//     produced them has ended and the job has its answer. WORK_STATUS is forwarded at once.
//   - A job whose JOB_ASSIGN was not written completely never ran, and may be given to any other worker. Once it was
//     written the job may have run, and the retry safety of its class decides.
//   - Memory is bounded: jobs and their data by Config and the shared admission.Limiter, unread output per peer.
//
// A worker connection is a dispatch.Backend from its first CAN_DO of a configured function. Jobs are kept in memory
// only and are lost with the process.
//
// Everything runs on the event loop that New was given: no method may be called from another goroutine, and none
// blocks. Parse, ParseLine, Append and AppendRequest are pure functions without that restriction.
package gearman
