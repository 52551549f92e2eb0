// Package version identifies the release that a binary was built from.
package version

import "runtime/debug"

// Release is set by the linker in release builds.
var Release = "development"

// String returns the release, followed by the commit if the build recorded it.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Release + " " + s.Value
		}
	}
	return Release
}
