//go:build keep

// Package keep holds the versions of libraries that are about to be used.
package keep

import _ "github.com/oklog/run"
