//go:build keep

// Package keep holds the versions of libraries that are about to be used.
package keep

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/oklog/run"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/samber/oops"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
