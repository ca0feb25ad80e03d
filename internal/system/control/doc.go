// Package control is the process of a control machine. It runs a replica of each partition of the control state and
// serves, from the local replica:
//
//   - the operator's API (package api),
//   - the directory of proxies for clients (package directory),
//   - the feed for agents (package feedserver),
//   - replication between control machines (package replica), over the same RPC server as the feed,
//   - replicated counters (package counterservice), if the settings ask for them.
//
// It also polls the platform's list of runners while it holds the lease for that (package runnersync), and takes part in
// the membership of all processes (package gossip).
//
// A Process is started with Start and runs until the context of Run ends; Run then announces the shutdown, drains calls
// and hands leadership and votes over, within the grace period that the settings give.
package control
