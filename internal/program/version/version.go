// Package version holds the version of the build.
package version

import (
	"runtime"
	"runtime/debug"
)

// development is the version of a build from a source tree.
const development = "development"

// String returns the version of the main module, or "development" for a build
// from a source tree, followed by the Go version it was built with.
func String() string {
	return release() + " (" + runtime.Version() + ")"
}

func release() string {
	build, known := debug.ReadBuildInfo()
	if !known || build.Main.Version == "" || build.Main.Version == "(devel)" {
		return development
	}
	return build.Main.Version
}
