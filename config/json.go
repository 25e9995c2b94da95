package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxNesting is the greatest depth of nested objects and lists in one file.
const maxNesting = 16

var (
	errNesting  = errors.New("objects and lists nest too deep")
	errTrailing = errors.New("text after the end of the object")
)

// tree is a parsed JSON value. An object is held in fields, a list in list, and any other
// value in text.
type tree struct {
	kind   treeKind
	text   string
	fields []treeField
	list   []tree
}

// treeField is one key of an object and its value.
type treeField struct {
	name  string
	value tree
}

// treeKind is the type of a JSON value.
type treeKind uint8

const (
	kindNull treeKind = iota
	kindBool
	kindNumber
	kindString
	kindList
	kindObject
)

// String returns the value as JSON, shortened for lists and objects.
func (tr tree) String() string {
	switch tr.kind {
	case kindNull:
		return "null"
	case kindString:
		return strconv.Quote(tr.text)
	case kindList:
		return "[...]"
	case kindObject:
		return "{...}"
	default:
		return tr.text
	}
}

// parseTree parses data, which must hold exactly one JSON value. Duplicate keys of an
// object are all retained, so that checkMessage can report them.
func parseTree(data []byte) (tree, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	root, err := readTree(dec, 0)
	if err != nil {
		return tree{}, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return tree{}, errTrailing
	}
	return root, nil
}

// readTree reads the next value of dec, which lies below depth objects and lists.
func readTree(dec *json.Decoder, depth int) (tree, error) {
	if depth > maxNesting {
		return tree{}, errNesting
	}
	token, err := dec.Token()
	if err != nil {
		return tree{}, err
	}
	switch value := token.(type) {
	case json.Delim:
		if value == '[' {
			return readList(dec, depth)
		}
		return readObject(dec, depth)
	case bool:
		return tree{kind: kindBool, text: strconv.FormatBool(value)}, nil
	case json.Number:
		return tree{kind: kindNumber, text: value.String()}, nil
	case string:
		return tree{kind: kindString, text: value}, nil
	default:
		return tree{kind: kindNull}, nil
	}
}

// readList reads the elements of a list and its closing bracket.
func readList(dec *json.Decoder, depth int) (tree, error) {
	tr := tree{kind: kindList}
	for dec.More() {
		element, err := readTree(dec, depth+1)
		if err != nil {
			return tree{}, err
		}
		tr.list = append(tr.list, element)
	}
	_, err := dec.Token()
	return tr, err
}

// readObject reads the fields of an object and its closing brace.
func readObject(dec *json.Decoder, depth int) (tree, error) {
	tr := tree{kind: kindObject}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return tree{}, err
		}
		name, _ := token.(string)
		value, err := readTree(dec, depth+1)
		if err != nil {
			return tree{}, err
		}
		tr.fields = append(tr.fields, treeField{name: name, value: value})
	}
	_, err := dec.Token()
	return tr, err
}
