// Package procs tests the program as operators run it: entries and agents are
// separate processes that are configured by settings files and controlled from the
// command line. The platform and the backend servers are fakes.
//
// # Usage
//
//	go test ./internal/proof/procs
//
// The test builds the binary, kills an entry, terminates an agent, and compares
// what a caller and a trainer received with the records of the fakes.
package procs
