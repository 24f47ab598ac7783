// Package origin keeps where streams began: at which service, and at which version of its
// upstreams' software. A caller that takes a stream up may come to any box, also after the box that
// carried the stream has ended, and the stream may go on only at that version.
//
// The box that carries a stream sends a Record to a few other boxes, its holders, before the caller
// gets the first event; the box that the caller comes to asks them. Holders are drawn by the stream's
// key, so that every box finds them without being told. Records outlive neither all their holders nor
// the time that the caller may still come back.
//
// The package makes decisions only; package relay sends and receives.
package origin
