package series_test

import (
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/internal/ops/series"
)

func ExampleName() {
	fmt.Println(series.Name("requests_total", "class", `look-up "late"`, "result", "in\ntime"))
	// Output: requests_total{class="look-up \"late\"",result="in\ntime"}
}

// FuzzName guards against text that ends the process when it becomes the value of a label.
func FuzzName(f *testing.F) {
	for _, text := range []string{"", `"`, `\`, `\"`, "\n", "\r\x00", "\xff", `a",b="c`, "}", "é"} {
		f.Add(text, "x")
		f.Add("x", text)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		for _, name := range []string{series.Name("m"), series.Name("m", "a", first), series.Name("m", "a", first, "b", second)} {
			if err := metrics.ValidateMetric(name); err != nil {
				t.Errorf("%q: %v", name, err)
			}
		}
	})
}
