// Package procs holds the test of the program as operators run it: entries and
// agents as separate processes from settings files, driven by the command
// line, with stand-ins of the platform and the backend servers.
//
// # Usage
//
//	go test ./internal/proof/procs
//
// The test builds the binary, kills an entry, stops an agent, and compares
// what a caller and a trainer received with the stand-ins' own records.
package procs
