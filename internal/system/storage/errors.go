package storage

import "cinderroad/internal/system/sqlitedb"

// DiskError reports that the disk refused or failed an operation, none of whose updates were applied. The operation may be
// repeated; it succeeds once the disk works again.
type DiskError = sqlitedb.DiskError

// CorruptError reports that the database can't have been written by this package. The replica has to start anew, as one
// without a disk.
type CorruptError = sqlitedb.CorruptError

// InUseError reports that another process has the state folder open.
type InUseError = sqlitedb.InUseError

// SchemaError reports that the file was written by a program of another version.
type SchemaError = sqlitedb.SchemaError

// ErrClosed is returned for operations on a closed Store.
var ErrClosed = sqlitedb.ErrClosed
