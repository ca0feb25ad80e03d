// Package discovery reads the platform's list of runners: a client for the platform's HTTP interface, the decoder of its
// pages, and the encoding in which package feed stores a runner.
//
// A list is tolerant of single entries: an entry that cannot be used is skipped and reported, and the rest of the list
// counts. A page that cannot be read at all, or pages that do not end, fail the list, so that a caller never takes a
// part of the list for all of it.
//
// The client implements HTTP/1.1 itself, over one connection that stays open between calls; the package does not depend
// on net/http.
package discovery
