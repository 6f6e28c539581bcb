// Package early catches the signal to reload before a program has read its
// settings. Without it one that comes in the first moments ends the process,
// which is what the system does by default.
//
// Programs that run for long import it; it is a leaf, so that it is among the
// first packages to be initialised. For other commands a hangup still ends the
// command, as its terminal expects.
//
// # Usage
//
//	for range early.Hangups() { reload() }
package early

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// lasting are the first arguments of the programs that run for long.
var lasting = []string{"site"}

var hangups = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && slices.Contains(lasting, os.Args[1]) {
		signal.Notify(hangups, syscall.SIGHUP)
	}
}

// ReloadSignals returns the channel of the signals to reload since the start.
func ReloadSignals() <-chan os.Signal {
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
