// Command generate compiles the schema files and writes the Go code generated from them.
//
// It runs in the folder tools:
//
//	go -C tools run ./generate
//
// For each schema file it also writes the SHA-256 digests of the schema file and of its
// generated code. CI compares them, so that it finds stale code without the generators.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const schemaFolder = "schema"

// plugin is a protoc plugin that generates Go code.
type plugin struct {
	// command is the import path of the tool.
	command string
	// parameter is appended to the parameter of all plugins.
	parameter string
	// onlyFile is the schema file that the plugin is run for; empty means all.
	onlyFile string
}

var plugins = []plugin{
	{command: "google.golang.org/protobuf/cmd/protoc-gen-go"},
	{command: "connectrpc.com/connect/cmd/protoc-gen-connect-go"},
	// Encodes and decodes the frames between nodes without reflection.
	{
		command:   "github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto",
		parameter: ",features=marshal+unmarshal+unmarshal_unsafe+size", onlyFile: "frame.proto",
	},
}

func main() {
	if err := generate(); err != nil {
		log.Fatal(err)
	}
}

// generate compiles all schema files, runs the plugins and writes the digests.
func generate() error {
	if err := os.Chdir(".."); err != nil {
		return err
	}
	paths, err := filepath.Glob(filepath.Join(schemaFolder, "*.proto"))
	if err != nil {
		return err
	}
	names := make([]string, len(paths))
	for i, path := range paths {
		names[i] = filepath.Base(path)
	}
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{schemaFolder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return err
	}
	descriptors := make(map[string]*descriptorpb.FileDescriptorProto)
	for _, file := range files {
		descriptors[file.Path()] = protodesc.ToFileDescriptorProto(file)
	}
	var ordered []*descriptorpb.FileDescriptorProto
	seen := make(map[string]bool)
	var visit func(name string)
	visit = func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		for _, dependency := range descriptors[name].GetDependency() {
			visit(dependency)
		}
		ordered = append(ordered, descriptors[name])
	}
	for _, name := range names {
		visit(name)
	}
	written := make(map[string][]string)
	for _, pg := range plugins {
		files := names
		if pg.onlyFile != "" {
			files = []string{pg.onlyFile}
		}
		if err := run(pg, files, ordered, written); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := writeDigest(name, written); err != nil {
			return err
		}
	}
	return nil
}

// run runs a plugin for the named schema files and writes the generated code. files holds
// the descriptors of all schema files in dependency order. The paths written are added to
// written, by the base name of the schema file.
func run(pg plugin, names []string, files []*descriptorpb.FileDescriptorProto, written map[string][]string) error {
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: names,
		Parameter:      proto.String("module=camphortrail" + pg.parameter),
		ProtoFile:      files,
	})
	if err != nil {
		return err
	}
	command := exec.Command("go", "tool", pg.command)
	command.Dir = "tools"
	command.Stdin = bytes.NewReader(request)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return fmt.Errorf("%s: %w", pg.command, err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s: %s", pg.command, response.GetError())
	}
	for _, file := range response.GetFile() {
		if err := os.MkdirAll(filepath.Dir(file.GetName()), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(file.GetName(), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
		base, _, _ := strings.Cut(filepath.Base(file.GetName()), ".")
		base = strings.TrimSuffix(base, "_vtproto")
		written[base] = append(written[base], file.GetName())
	}
	return nil
}

// writeDigest writes the digests of a schema file and of the code generated from it.
func writeDigest(name string, written map[string][]string) error {
	base := strings.TrimSuffix(name, ".proto")
	var lines strings.Builder
	for _, path := range append([]string{filepath.Join(schemaFolder, name)}, written[base]...) {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(&lines, "%x  %s\n", sha256.Sum256(content), path)
	}
	return os.WriteFile(filepath.Join(schemaFolder, base+".sha256"), []byte(lines.String()), 0o644)
}
