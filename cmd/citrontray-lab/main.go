// Command citrontray-lab runs the fakes of the platform and the targets, the load
// generator and the bench. It is for development and not part of a deployment.
package main

import (
	"os"

	"citrontray.example/citrontray/internal/lab"
)

func main() {
	os.Exit(lab.Main(os.Args[1:], os.Stdout, os.Stderr))
}
