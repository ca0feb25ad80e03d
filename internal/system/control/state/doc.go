// Package state holds the replicated state machines of the control partitions and the commands that drive them.
// Partition 0 has the operators' configuration and the evacuated zones, see Configuration; the other partitions have
// runners, see Runners. Both implement replica.StateMachine.
//
// A command is checked only when it is applied, against the state that it meets: a change of the configuration names the
// version that it builds on, every other command the revision that its proposer has seen. A command that arrives late or
// twice is therefore rejected or recognized, and every replica comes to the same result. Apply must stay deterministic:
// no clock, no random numbers, no iteration over a map may influence the state or a result.
//
// Commands, results and snapshots are read by replicas of other releases. Their encodings must not change without a new
// format number, and decoding accepts exactly the bytes that encoding writes, so that all replicas accept the same ones.
package state
