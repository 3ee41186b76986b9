// Package version provides the version of the running binary.
package version

import (
	"runtime"
	"runtime/debug"
)

// development is the version of a build from a source tree.
const development = "development"

// String returns the version of the main module followed by the Go version of the
// build. The version is "development" for a build from a source tree.
func String() string {
	return release() + " (" + runtime.Version() + ")"
}

func release() string {
	info, known := debug.ReadBuildInfo()
	if !known || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return development
	}
	return info.Main.Version
}
