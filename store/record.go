package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

// A record in a file is a header of magic, length and checksum, each of four
// bytes in little-endian order, and the content. The checksum covers length
// and content.
const headerBytes = 12

var (
	magic      = []byte{0xc7, 0x1e, 0x9d, 0x3b}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func recordChecksum(length, content []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, content)
}

// encodeRecord returns msg as it is written to a file.
func encodeRecord(msg proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headerBytes, 512), msg)
	if err != nil {
		return nil, err
	}
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(data)-headerBytes))
	binary.LittleEndian.PutUint32(data[8:], recordChecksum(data[4:8], data[headerBytes:]))
	return data, nil
}

// decodeRecord reads the record at the beginning of data, and returns its
// length in the file, or false if there is no valid one.
func decodeRecord(data []byte, msg proto.Message) (int, bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, magic) {
		return 0, false
	}
	length := int64(binary.LittleEndian.Uint32(data[4:]))
	if int64(len(data)) < headerBytes+length {
		return 0, false
	}
	content := data[headerBytes : headerBytes+length]
	if recordChecksum(data[4:8], content) != binary.LittleEndian.Uint32(data[8:]) {
		return 0, false
	}
	if proto.Unmarshal(content, msg) != nil {
		return 0, false
	}
	return headerBytes + int(length), true
}

// containsRecord reports whether a valid record begins anywhere in data.
func containsRecord(data []byte) bool {
	for {
		at := bytes.Index(data, magic)
		if at < 0 {
			return false
		}
		if _, ok := decodeRecord(data[at:], new(schema.LogRecord)); ok {
			return true
		}
		data = data[at+1:]
	}
}
