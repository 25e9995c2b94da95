package header

import (
	"bytes"
	"net/http"
	"strings"
)

// newlineReplacer replaces what would end a field.
var newlineReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// WriteFields writes the fields of a header but those that are excluded, in any order:
// the order of fields with different names has no meaning (RFC 9110, section 5.3).
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
