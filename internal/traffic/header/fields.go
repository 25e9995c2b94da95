package header

import (
	"bytes"
	"net/http"
	"strings"
)

// newlineReplacer replaces the characters that would end a field, so that a value can't
// inject another field.
var newlineReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// WriteFields writes the fields of a header, except the excluded ones and those whose name is
// invalid. The names are in no particular order, because the order of fields with different
// names has no meaning (RFC 9110, section 5.3).
func WriteFields(buf *bytes.Buffer, hd http.Header, exclude map[string]bool) {
	for name, values := range hd {
		if exclude[name] || name == "" || strings.ContainsAny(name, "\r\n: ") {
			continue
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n") {
				value = newlineReplacer.Replace(value)
			}
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(value)
			buf.WriteString("\r\n")
		}
	}
}
