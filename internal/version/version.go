// Package version names the release that a binary was built from.
package version

import "runtime/debug"

// Release is set by the linker for a release build.
var Release = "development"

// String returns the release, with the commit where the build knows it.
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
