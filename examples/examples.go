// Package examples holds the example deployments for programs that run without
// the source tree.
package examples

import "embed"

// Files holds the folders of the example deployments.
//
//go:embed lombardy mexico-centre
var Files embed.FS
