package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

// headerBytes is the size of a record's header: magic bytes, length and checksum, of four
// bytes each; length and checksum are little-endian. The content follows, a protobuf message.
// The checksum covers the length and the content.
const headerBytes = 12

var (
	magic      = []byte{0xc7, 0x1e, 0x9d, 0x3b}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// recordChecksum returns the CRC-32C of the length field and the content.
func recordChecksum(length, content []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, content)
}

// encodeRecord returns the record with the content msg.
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

// decodeRecord decodes the record at the beginning of data into msg. It returns the size of
// the record including the header, or false if there is no valid record.
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

// containsRecord reports whether a valid log record begins anywhere in data.
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
