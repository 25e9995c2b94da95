package config_test

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/config"
	"camphortrail/schema"
)

// sampleConfiguration returns a valid configuration with nested path prefixes.
func sampleConfiguration() *schema.Configuration {
	request := func(name, method, prefix, class string) *schema.RequestKind {
		return &schema.RequestKind{
			Name: name, Method: method, PathPrefix: prefix, Class: class, Idempotent: true, DeadlineMs: 900, RetryTotal: 3,
		}
	}
	return &schema.Configuration{
		Deployment:     "lombardy",
		Version:        4,
		FailureDomains: []*schema.FailureDomain{{Name: "monza", Region: "lombardy"}},
		Classes:        []*schema.Class{{Name: "list", Importance: 2}, {Name: "lookup", Importance: 7}},
		Services: []*schema.Service{{
			Name: "emissione", RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 200, KeyRetentionS: 60,
			Requests: []*schema.RequestKind{
				request("look-up-tag", "GET", "/emissione/tags", "lookup"),
				request("list-tags", "GET", "/emissione/tags/list/", "list"),
				request("anything", "GET", "/", "list"),
			},
		}},
	}
}

func TestMatch(t *testing.T) {
	cd, err := config.Compile(sampleConfiguration(), 9)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ method, path, want string }{
		{"GET", "/emissione/tags", "look-up-tag"},
		{"GET", "/emissione/tags/", "look-up-tag"},
		{"GET", "/emissione/tags/17", "look-up-tag"},
		{"GET", "/emissione/tags/list", "list-tags"},
		{"GET", "/emissione/tags/list/all", "list-tags"},
		{"GET", "/emissione/tags/listed", "look-up-tag"},
		{"GET", "/emissione/tagset", "anything"},
		{"GET", "/", "anything"},
		{"POST", "/emissione/tags", ""},
		{"get", "/emissione/tags", ""},
		{"GET", "", ""},
		{"GET", "emissione/tags", ""},
		{"GET", "/emissione/tags/../tags", ""},
		{"GET", "/emissione/./tags", ""},
		{"GET", "/emissione//tags", ""},
		{"GET", "/emissione/tags/..", ""},
		{"GET", "/emissione/.well-known", "anything"},
	} {
		kd, ok := cd.Match(tt.method, tt.path)
		if ok != (tt.want != "") || (ok && kd.Name != tt.want) {
			t.Errorf("Match(%q, %q) = %v, %v, want %q", tt.method, tt.path, kd, ok, tt.want)
		}
	}
}

func TestMatchDoesNotAllocate(t *testing.T) {
	cd, err := config.Compile(sampleConfiguration(), 9)
	if err != nil {
		t.Fatal(err)
	}
	if count := testing.AllocsPerRun(100, func() { cd.Match("GET", "/emissione/tags/17/plan") }); count != 0 {
		t.Errorf("Match allocates %v times, want 0", count)
	}
}

// TestCompiledLimits checks that a compiled kind has the limits of its service and the
// importance of its class.
func TestCompiledLimits(t *testing.T) {
	cd, err := config.Compile(sampleConfiguration(), 9)
	if err != nil {
		t.Fatal(err)
	}
	kd, _ := cd.Match("GET", "/emissione/tags/17")
	want := config.Kind{
		Service: "emissione", Name: "look-up-tag", Class: "lookup", Importance: 7, Idempotent: true,
		Deadline: 900 * time.Millisecond, Target: 900 * time.Millisecond, RetryTotal: 3, RetryRatioPercent: 10,
		MaxRequestBytes: 100, MaxAnswerBytes: 200, KeyRetention: time.Minute,
	}
	if *kd != want {
		t.Errorf("kind = %+v, want %+v", *kd, want)
	}
	if cd.Revision != 9 || cd.Version != 4 || cd.Deployment != "lombardy" || len(cd.Services) != 1 {
		t.Errorf("compiled = %+v", cd)
	}
	if cd.Classes[0].Name != "lookup" {
		t.Errorf("first class = %v, want the most important one", cd.Classes[0])
	}
}

func TestCompileRefusesWhatCheckRefuses(t *testing.T) {
	cfg := sampleConfiguration()
	cfg.Version = 0
	if cd, err := config.Compile(cfg, 1); cd != nil || err == nil {
		t.Errorf("Compile = %v, %v, want an error", cd, err)
	}
}

func ExampleCheck() {
	fmt.Println(config.Check(&schema.Configuration{
		Deployment:     "lombardy",
		Version:        1,
		FailureDomains: []*schema.FailureDomain{{Name: "monza", Region: "lombardy"}},
		Classes:        []*schema.Class{{Name: "lookup", Importance: 9}},
		Services: []*schema.Service{{
			Name: "cassa", MaxRequestBytes: 1024, MaxAnswerBytes: 1024,
			Requests: []*schema.RequestKind{{
				Name: "look-up-fee", Method: "GET", PathPrefix: "/cassa/fees", Class: "lookup", Idempotent: true,
			}},
		}},
	}))
	// Output:
	// classes[0].importance: must be from 1 to 7 (value 9)
	// services[0].requests[0].deadline-ms: must be from 1 to 600000 (value 0)
}
