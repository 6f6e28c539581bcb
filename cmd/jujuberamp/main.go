// Command jujuberamp runs an entry or an agent, and provides the commands for operators.
package main

import (
	"os"

	"github.com/jujuberamp/jujuberamp/internal/prod/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
