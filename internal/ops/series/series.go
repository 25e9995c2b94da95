// Package series builds the names of time series in the Prometheus text format.
package series

import "strings"

// escaper escapes the characters that have a meaning in a label value. The format knows no other
// escapes; those of strconv.Quote for other characters cannot be read.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Name returns the name of a time series: a metric and the names and values of its labels in turn.
// Values may be any text; bytes that are not UTF-8 are replaced. The result is a name that package
// metrics accepts, which ends the process at others.
func Name(metric string, labels ...string) string {
	var out strings.Builder
	out.WriteString(metric)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		out.WriteString(separator)
		out.WriteString(labels[i])
		out.WriteString(`="`)
		_, _ = escaper.WriteString(&out, strings.ToValidUTF8(labels[i+1], "\uFFFD"))
		out.WriteByte('"')
		separator = ","
	}
	if separator == "," {
		out.WriteByte('}')
	}
	return out.String()
}
