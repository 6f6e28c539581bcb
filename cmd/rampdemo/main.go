// Command rampdemo runs a complete deployment on loopback and reports which guarantees
// held.
package main

import (
	"os"

	"github.com/jujuberamp/jujuberamp/internal/proof/demo"
)

func main() { os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr)) }
