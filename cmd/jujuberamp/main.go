// Command jujuberamp runs the entry and the agent and serves operators.
package main

import (
	"os"

	"github.com/jujuberamp/jujuberamp/internal/prod/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
