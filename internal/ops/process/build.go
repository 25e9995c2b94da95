package process

import (
	"debug/elf"
	"os"
	"runtime/debug"
	"sync"
)

const (
	// revisionLength is the number of digits of a revision that are told.
	revisionLength = 12
	// buildIDLength is the number of characters of a build id that are told.
	buildIDLength = 20
	// noteHeaderBytes is the length of the header and the name of the note that holds the build id.
	noteHeaderBytes = 16
)

// Build returns the revision that the program was built from, with "+" if files had been changed, or
// the beginning of the build id of the Go linker if the build knows no revision. It is "unknown" if
// there is neither.
var Build = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := revisionOf(info.Settings); revision != "" {
			return revision
		}
	}
	path, err := os.Executable()
	if err != nil {
		return "unknown"
	}
	return buildIDOf(path)
})

// revisionOf returns the revision in the settings of a build, or "".
func revisionOf(settings []debug.BuildSetting) (revision string) {
	changed := ""
	for _, st := range settings {
		switch st.Key {
		case "vcs.revision":
			revision = st.Value[:min(len(st.Value), revisionLength)]
		case "vcs.modified":
			if st.Value == "true" {
				changed = "+"
			}
		}
	}
	if revision == "" {
		return ""
	}
	return revision + changed
}

// buildIDOf returns the beginning of the build id in an ELF file, or "unknown".
func buildIDOf(path string) string {
	fl, err := elf.Open(path)
	if err != nil {
		return "unknown"
	}
	defer fl.Close()
	section := fl.Section(".note.go.buildid")
	if section == nil {
		return "unknown"
	}
	data, err := section.Data()
	if err != nil || len(data) <= noteHeaderBytes {
		return "unknown"
	}
	id := data[noteHeaderBytes:]
	return string(id[:min(len(id), buildIDLength)])
}
