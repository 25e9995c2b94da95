package header

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"reflect"
	"testing"
)

// Values that contain a line break must not inject a field, those with other control characters
// must not make the message invalid, and excluded or invalid names must be left out.
func TestWriteFields(t *testing.T) {
	var buf bytes.Buffer
	WriteFields(&buf, http.Header{
		"Set-Cookie": {"a=1", "b=2"}, "Host": {"excluded"}, "Split": {"a\r\nInjected: b"}, "Bad: Name": {"c"}, "Empty": {""},
		"Control": {"a\x00b\x1f\x7f\tc"}, "Latin": {"caf\xe9"}, "Bad\x00Name": {"c"}, "B\xe9d": {"c"}, "": {"c"},
	}, map[string]bool{"Host": true})
	buf.WriteString("\r\n")
	got, err := textproto.NewReader(bufio.NewReader(&buf)).ReadMIMEHeader()
	want := textproto.MIMEHeader{"Set-Cookie": {"a=1", "b=2"}, "Split": {"a  Injected: b"}, "Empty": {""}, "Control": {"a b  \tc"}, "Latin": {"caf\xe9"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}
