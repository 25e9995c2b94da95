package config_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"camphortrail/config"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/schema"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

// digest returns the digest of cfg.
func digest(t interface{ Fatal(...any) }, cfg *schema.Configuration) config.Digest {
	dg, err := config.DigestOf(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return dg
}

// TestHistoryDecides compares the decisions of a History with those of a simple model,
// which holds the accepted versions in a map.
func TestHistoryDecides(t *testing.T) {
	const limit = 8
	rapid.Check(t, func(t *rapid.T) {
		hi := config.NewHistory(limit, nil)
		accepted := make(map[config.Version]config.Accepted)
		var order []config.Version
		var inForce config.Version
		for rev := config.Revision(1); rev < 60; rev++ {
			ver := config.Version(rapid.IntRange(1, 30).Draw(t, "version"))
			dg := config.Digest{byte(rapid.IntRange(0, 1).Draw(t, "content"))}
			before, known := accepted[ver]
			got := hi.Decide(ver, rev, dg)
			var want config.Decision
			switch {
			case ver > inForce:
				want = config.Accept{Revision: rev}
				inForce = ver
				accepted[ver] = config.Accepted{Version: ver, Revision: rev, Digest: dg}
				if order = append(order, ver); len(order) > limit {
					delete(accepted, order[len(order)-limit-1])
				}
			case known && before.Digest == dg:
				want = config.Accept{Revision: before.Revision, AlreadyAccepted: true}
			case ver == inForce:
				want = config.Conflict{Winner: before}
			default:
				want = config.Stale{InForce: accepted[inForce]}
			}
			if got != want {
				t.Fatalf("version %d at revision %d: %+v, want %+v", ver, rev, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				hi = config.NewHistory(limit, hi.All())
			}
		}
	})
}

func TestDigestOf(t *testing.T) {
	with := func(name string, version uint64) *schema.Configuration {
		return &schema.Configuration{Version: version, Services: []*schema.Service{{Name: name}}}
	}
	same := digest(t, with("cassa", 1))
	for _, tc := range []struct {
		cfg  *schema.Configuration
		want bool
	}{
		{with("cassa", 1), true},
		{with("cassa", 2), false},
		{with("fichas", 1), false},
	} {
		if got := digest(t, tc.cfg) == same; got != tc.want {
			t.Errorf("digest of %v equal: %v, want %v", tc.cfg, got, tc.want)
		}
	}
}

func ExampleHistory_Decide() {
	hi := config.NewHistory(100, nil)
	one, other := config.Digest{1}, config.Digest{2}
	for _, pr := range []struct {
		version  config.Version
		revision config.Revision
		digest   config.Digest
	}{{5, 10, one}, {5, 11, one}, {5, 12, other}, {4, 13, one}, {6, 14, one}} {
		switch de := hi.Decide(pr.version, pr.revision, pr.digest).(type) {
		case config.Accept:
			fmt.Println("accepted at revision", de.Revision)
		case config.Conflict:
			fmt.Println("conflict with revision", de.Winner.Revision)
		case config.Stale:
			fmt.Println("stale, in force is", de.InForce.Version)
		}
	}
	// Output:
	// accepted at revision 10
	// accepted at revision 10
	// conflict with revision 10
	// stale, in force is 5
	// accepted at revision 14
}
