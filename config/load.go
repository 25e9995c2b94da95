package config

import (
	"os"
	"path/filepath"
	"slices"

	"camphortrail/schema"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	servicesFolder = "services"
	// maxFileBytes bounds one file.
	maxFileBytes = 4 << 20
)

// Load reads all *.json files of the folder dir, and of the folder services
// below it, and merges them into one checked configuration. Each file holds a
// part of schema.Configuration. A file that can be read but is refused gives
// Problems, which match ErrInvalid.
func Load(dir string) (*schema.Configuration, error) {
	paths, err := filesOf(dir)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, Problems{{File: dir, Reason: "holds no *.json file"}}
	}
	var problems Problems
	mg := newMerge()
	for _, path := range paths {
		var part schema.Configuration
		found, err := decodeFile(path, &part)
		if err != nil {
			return nil, err
		}
		problems = append(problems, found...)
		problems = append(problems, mg.add(path, &part)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	if err := mg.locate(dir, check(mg.whole)).err(); err != nil {
		return nil, err
	}
	return mg.whole, nil
}

func filesOf(dir string) ([]string, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, errors.Wrap(err, "config: open folder")
	}
	var paths []string
	for _, pattern := range []string{
		filepath.Join(dir, "*.json"),
		filepath.Join(dir, servicesFolder, "*.json"),
	} {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			return nil, errors.Wrap(err, "config: list files")
		}
		slices.Sort(matches)
		paths = append(paths, matches...)
	}
	return paths, nil
}

// decodeFile fills msg from a file. It returns the problems of a file that
// could be read, and leaves msg empty if there are any.
func decodeFile(path string, msg proto.Message) (Problems, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "config: read file")
	}
	if info.Size() > maxFileBytes {
		return Problems{{File: path, Reason: "is larger than 4 MiB"}}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config: read file")
	}
	return decode(path, data, msg), nil
}

func decode(path string, data []byte, msg proto.Message) Problems {
	root, err := parseTree(data)
	if err != nil {
		return Problems{{File: path, Reason: "is not one JSON object: " + err.Error()}}
	}
	fs := &findings{file: path}
	checkMessage(fs, "", root, msg.ProtoReflect().Descriptor())
	if len(fs.problems) > 0 {
		return fs.problems
	}
	if err := protojson.Unmarshal(data, msg); err != nil {
		proto.Reset(msg)
		return Problems{{File: path, Reason: "cannot be decoded: " + err.Error()}}
	}
	return nil
}
