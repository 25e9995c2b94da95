// Package examples embeds the example deployments, so that programs can use them without
// the source tree.
package examples

import "embed"

// Files holds one folder for each example deployment.
//
//go:embed lombardy mexico-centre
var Files embed.FS
