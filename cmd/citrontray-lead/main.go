// Command citrontray-lead runs the control plane of an entry host: it takes part in the
// leader elections of its zone's cells, grants shards to targets and replicates documents.
package main

import (
	"os"

	"citrontray.example/citrontray/internal/lead"
)

func main() {
	os.Exit(lead.Main(os.Args[1:], os.Stdout, os.Stderr))
}
