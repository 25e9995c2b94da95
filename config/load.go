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
	// maxFileBytes is the largest size of a file that this package reads.
	maxFileBytes = 4 << 20
)

// Load reads all *.json files of the folder dir and of its subfolder services, and merges
// them into one checked configuration. Each file holds a part of schema.Configuration. If
// a file can be read but is invalid, the error is of type Problems, which matches
// ErrInvalid.
func Load(dir string) (*schema.Configuration, error) {
	paths, err := listFiles(dir)
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, Problems{{File: dir, Reason: "holds no *.json file"}}
	}
	var problems Problems
	mg := newMerger()
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
	if err := mg.attributeToFiles(dir, check(mg.merged)).err(); err != nil {
		return nil, err
	}
	return mg.merged, nil
}

// listFiles returns the paths of the *.json files of dir, and then of its subfolder
// services, each sorted by name.
func listFiles(dir string) ([]string, error) {
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

// decodeFile decodes the file at path into msg. It returns an error if the file cannot be
// read, and Problems if its content is invalid; msg stays empty in both cases.
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

// decode decodes the JSON text data of the file at path into msg. It leaves msg empty if
// there are problems.
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
