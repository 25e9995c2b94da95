package config

import (
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

// UnreadFiles returns the paths of all files below folder that are neither part of the
// configuration in the folder configuration nor listed in read.
func UnreadFiles(folder, configuration string, read []string) ([]string, error) {
	files, err := listFiles(configuration)
	if err != nil {
		return nil, err
	}
	var unread []string
	err = filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && !slices.Contains(files, path) && !slices.Contains(read, path) {
			unread = append(unread, path)
		}
		return err
	})
	return unread, errors.Wrap(err, "config: files that are not read")
}
