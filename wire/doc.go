// Package wire holds the messages that boxes and the operators' client
// exchange, generated from doormast.proto.
//
// The generated files are committed, so that a build needs no generator; run
// wire/generate after a change to the schema.
package wire
