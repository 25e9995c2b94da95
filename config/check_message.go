package config

import (
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// checkMessage checks that a JSON object has only fields of the message md, each at most
// once and with a value of the field's type. path is the path of the object in its file.
func checkMessage(fs *findings, path string, tr tree, md protoreflect.MessageDescriptor) {
	if tr.kind != kindObject {
		fs.add(path, tr.String(), "is not an object")
		return
	}
	seen := make(map[string]bool, len(tr.fields))
	for _, field := range tr.fields {
		at := joinPath(path, field.name)
		if seen[field.name] {
			fs.add(at, field.value.String(), "is written twice")
			continue
		}
		seen[field.name] = true
		fd := fieldByJSONName(md, field.name)
		if fd == nil {
			fs.add(at, field.value.String(), "is not a known field")
			continue
		}
		checkField(fs, at, field.value, fd)
	}
}

// fieldByJSONName returns the field with the given kebab-case name, or nil. The name in
// the .proto file is not accepted, although protojson would accept it.
func fieldByJSONName(md protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	return md.Fields().ByJSONName(name)
}

// checkField checks the value of a field, element by element if the field is a list.
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
		checkValue(fs, elementPath(path, i), element, fd)
	}
}

// checkValue checks a single value, or one element of a list, against the type of fd.
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

// checkUnsigned checks that a value is a whole number from 0 to 1<<bits - 1.
func checkUnsigned(fs *findings, path string, tr tree, bits int) {
	if tr.kind != kindNumber {
		fs.add(path, tr.String(), "is not a number")
		return
	}
	if _, err := strconv.ParseUint(tr.text, 10, bits); err != nil {
		fs.add(path, tr.text, "is not a whole number from 0 to "+strconv.FormatUint(1<<bits-1, 10))
	}
}

// joinPath returns the path of a field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementPath returns the path of the element i of the list at path.
func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
