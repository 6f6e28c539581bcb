// Package early catches the reload signal SIGHUP from the start of a process,
// before its settings are read. Otherwise a signal that arrives during startup
// would terminate the process, which is the default action.
//
// The package imports only the standard library, so that it is among the first
// packages to be initialized. It catches the signal only for long-running
// commands. Other commands are still terminated when their terminal closes.
//
// # Usage
//
//	for range early.ReloadSignals() { reload() }
package early

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// longRunningCommands lists the first arguments that start a long-running
// process.
var longRunningCommands = []string{"site"}

var reloadSignals = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && slices.Contains(longRunningCommands, os.Args[1]) {
		signal.Notify(reloadSignals, syscall.SIGHUP)
	}
}

// ReloadSignals returns the channel of the reload signals. A signal that arrived
// during startup is buffered.
func ReloadSignals() <-chan os.Signal {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	return reloadSignals
}
