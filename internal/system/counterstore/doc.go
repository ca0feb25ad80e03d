// Package counterstore persists the operation logs of a machine's replicated counters in one SQLite file of the state folder.
//
// The file has an origin, which names the machine's own log (see package counter). It is drawn when the file is created, so that
// the log of a lost disk is never continued. What Store.Write has returned nil for survives a kill of the process and a
// power loss; a failed write may be repeated as it is, whether or not the disk has kept it.
//
// One process only may open a state folder. A folder must not be copied or restored from a backup.
package counterstore
