package config

import (
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// checkMessage compares an object with the message that it is meant for.
func checkMessage(fs *findings, path string, tr tree, md protoreflect.MessageDescriptor) {
	if tr.kind != kindObject {
		fs.add(path, tr.String(), "is not an object")
		return
	}
	seen := make(map[string]bool, len(tr.fields))
	for _, field := range tr.fields {
		at := join(path, field.name)
		if seen[field.name] {
			fs.add(at, field.value.String(), "is written twice")
			continue
		}
		seen[field.name] = true
		fd := fieldNamed(md, field.name)
		if fd == nil {
			fs.add(at, field.value.String(), "is not a known field")
			continue
		}
		checkField(fs, at, field.value, fd)
	}
}

// fieldNamed finds a field by its kebab-case name only. protojson would also
// accept the name in the schema.
func fieldNamed(md protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	return md.Fields().ByJSONName(name)
}

func checkField(fs *findings, path string, tr tree, fd protoreflect.FieldDescriptor) {
	if !fd.IsList() {
		checkValue(fs, path, tr, fd)
		return
	}
	if tr.kind != kindList {
		fs.add(path, tr.String(), "is not a list")
		return
	}
	for i, element := range tr.list {
		checkValue(fs, index(path, i), element, fd)
	}
}

func checkValue(fs *findings, path string, tr tree, fd protoreflect.FieldDescriptor) {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		checkMessage(fs, path, tr, fd.Message())
	case protoreflect.StringKind:
		if tr.kind != kindString {
			fs.add(path, tr.String(), "is not a string")
		}
	case protoreflect.BoolKind:
		if tr.kind != kindBool {
			fs.add(path, tr.String(), "is not true or false")
		}
	case protoreflect.Uint32Kind:
		checkUnsigned(fs, path, tr, 32)
	case protoreflect.Uint64Kind:
		checkUnsigned(fs, path, tr, 64)
	default:
		fs.add(path, tr.String(), "has a type that files cannot hold")
	}
}

func checkUnsigned(fs *findings, path string, tr tree, bits int) {
	if tr.kind != kindNumber {
		fs.add(path, tr.String(), "is not a number")
		return
	}
	if _, err := strconv.ParseUint(tr.text, 10, bits); err != nil {
		fs.add(path, tr.text, "is not a whole number from 0 to "+strconv.FormatUint(1<<bits-1, 10))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
