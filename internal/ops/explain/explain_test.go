package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"camphortrail/internal/ops/explain"
)

// TestExplain reads logs and explains requests as the files in testdata say.
func TestExplain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var st explain.Decisions
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "read":
				if err := st.Read(strings.NewReader(td.Input)); err != nil {
					return err.Error()
				}
				return ""
			case "explain":
				var out strings.Builder
				if err := st.Explain(&out, strings.TrimSpace(td.Input)); err != nil {
					return err.Error()
				}
				return out.String()
			}
			t.Fatalf("unknown command %q", td.Cmd)
			return ""
		})
	})
}

func ExampleDecisions() {
	var st explain.Decisions
	_ = st.Read(strings.NewReader(
		`{"timestamp":"2026-12-01T10:00:00.250Z","vm":"monza-1","event":"gave-up","request":"7f","reason":"deadline","chosen-vm":"brescia-2","status":504,"took-ms":800,"left-ms":0}`))
	_ = st.Explain(os.Stdout, "7f")
	// Output:
	// request 7f
	//   10:00:00.250 monza-1: gave-up for deadline by way of brescia-2 with status 504 after 800 ms, 0 ms left
}
