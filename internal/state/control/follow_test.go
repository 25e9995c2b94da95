package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/quorum"
)

// TestFollowers runs the lines in testdata/followers. A line has the seconds since the begin, the
// commit index, and the match index of each replica with the seconds since its last answer.
func TestFollowers(t *testing.T) {
	datadriven.RunTest(t, "testdata/followers", func(t *testing.T, td *datadriven.TestData) string {
		var fs followers
		var out strings.Builder
		begin := time.Unix(1000, 0)
		for line := range strings.Lines(td.Input) {
			fields := strings.Fields(line)
			var at, silent int
			var commit, match quorum.Index
			if _, err := fmt.Sscan(fields[0]+" "+fields[1], &at, &commit); err != nil {
				t.Fatal(err)
			}
			now := begin.Add(time.Duration(at) * time.Second)
			var list []quorum.Progress
			for _, field := range fields[2:] {
				parts := strings.Split(field, "/")
				if _, err := fmt.Sscan(parts[1]+" "+parts[2], &match, &silent); err != nil {
					t.Fatal(err)
				}
				list = append(list, quorum.Progress{
					Replica: quorum.Replica(parts[0]), Match: match, LastContact: now.Add(-time.Duration(silent) * time.Second),
				})
			}
			fmt.Fprintf(&out, "%s:", strings.TrimSpace(line))
			for _, tn := range fs.update(now, commit, list) {
				fmt.Fprintf(&out, " %s %v after %v, %d entries", tn.replica, tn.to, tn.from, tn.entries)
			}
			entries, count := fs.worst()
			fmt.Fprintf(&out, " worst %d, %d not following\n", entries, count)
		}
		return out.String()
	})
}
