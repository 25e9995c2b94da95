package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxNesting bounds the depth of objects and lists in one file.
const maxNesting = 16

var (
	errNesting  = errors.New("objects and lists nest too deep")
	errTrailing = errors.New("text after the end of the object")
)

// tree is a parsed JSON value: tree.object for an object, tree.list for a
// list, and text for all others.
type tree struct {
	kind   treeKind
	text   string
	fields []treeField
	list   []tree
}

type treeField struct {
	name  string
	value tree
}

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

// parseTree parses one JSON value that fills data. Duplicate keys are kept.
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
