package header

import (
	"bytes"
	"net/http"
	"strings"
)

// WriteFields writes the fields of a header, except the excluded ones and those whose name is
// invalid. Control characters in values are replaced by spaces: a line break would end the field,
// and receivers reject a message with the others. The names are in no particular order, because
// the order of fields with different names has no meaning (RFC 9110, section 5.3).
func WriteFields(buf *bytes.Buffer, hd http.Header, exclude map[string]bool) {
	for name, values := range hd {
		if exclude[name] || !IsToken(name) {
			continue
		}
		for _, value := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			writeValue(buf, value)
			buf.WriteString("\r\n")
		}
	}
}

// writeValue writes a field value with spaces in place of control characters (RFC 9110, section
// 5.5). Other bytes need not be UTF-8.
func writeValue(buf *bytes.Buffer, value string) {
	const space, tab, del = ' ', '\t', 0x7f
	done := 0
	for i := range len(value) {
		if ch := value[i]; ch < space && ch != tab || ch == del {
			buf.WriteString(value[done:i])
			buf.WriteByte(space)
			done = i + 1
		}
	}
	buf.WriteString(value[done:])
}

// IsToken reports whether a name is a token (RFC 9110, section 5.6.2), as methods and the names of
// fields are.
func IsToken(name string) bool {
	for i := range len(name) {
		ch := name[i]
		if !('a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z' || '0' <= ch && ch <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", ch) >= 0) {
			return false
		}
	}
	return name != ""
}

// IsTarget reports whether text can be a part of the first line of a request, or a host: it has
// neither control characters nor spaces.
func IsTarget(text string) bool {
	const space, del = ' ', 0x7f
	for i := range len(text) {
		if text[i] <= space || text[i] == del {
			return false
		}
	}
	return true
}
