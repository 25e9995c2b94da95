package config_test

import (
	"path/filepath"
	"testing"

	"camphortrail/call"
	"camphortrail/config"
)

var deployments = []string{"lombardy", "mexico-centre"}

// examplePath returns the path of a file or folder below examples.
func examplePath(parts ...string) string {
	return filepath.Join(append([]string{"..", "examples"}, parts...)...)
}

// compileExample loads and compiles the configuration of an example deployment.
func compileExample(t *testing.T, deployment string) *config.Compiled {
	t.Helper()
	cfg, err := config.Load(examplePath(deployment, "configuration"))
	if err != nil {
		t.Fatal(err)
	}
	cd, err := config.Compile(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return cd
}

// TestExampleImportance checks that the classes lookup, claim and release are more
// important than all others.
func TestExampleImportance(t *testing.T) {
	first := map[call.Class]bool{"lookup": true, "claim": true, "release": true}
	for _, deployment := range deployments {
		lowest, highest := call.MaxImportance, call.Importance(0)
		for _, cl := range compileExample(t, deployment).Classes {
			if first[cl.Name] {
				lowest = min(lowest, cl.Importance)
			} else {
				highest = max(highest, cl.Importance)
			}
		}
		if highest == 0 || lowest <= highest {
			t.Errorf("%s: importance of first classes from %d, of others up to %d", deployment, lowest, highest)
		}
	}
}

// TestExampleSettings checks that the settings of all processes of a deployment are valid
// and use different addresses.
func TestExampleSettings(t *testing.T) {
	for _, deployment := range deployments {
		paths, err := filepath.Glob(examplePath(deployment, "settings", "*.json"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %v, %v", deployment, paths, err)
		}
		used := make(map[string]string)
		for _, path := range paths {
			st, err := config.LoadSettings(path)
			if err != nil {
				t.Fatal(err)
			}
			if st.GetDeployment() != deployment {
				t.Errorf("%s: deployment is %s", path, st.GetDeployment())
			}
			for _, address := range []string{st.GetCallerAddress(), st.GetPeerAddress(), st.GetLocalAddress()} {
				if used[address] != "" && address != "" {
					t.Errorf("%s: address %s is that of %s", path, address, used[address])
				}
				used[address] = path
			}
		}
	}
}

// TestExampleFleets checks the number and the capacity of the stand-in upstreams, and
// that a call between upstreams has the same class and idempotency as the request that
// makes it.
func TestExampleFleets(t *testing.T) {
	type size struct{ servers, slots, connections uint32 }
	want := map[string]map[string]size{
		"lombardy": {
			"sportello": {7, 35, 300}, "emissione": {4, 60, 450}, "planimetrie": {4, 60, 450}, "cassa": {4, 15, 190},
		},
		"mexico-centre": {
			"consulta": {4, 230, 1500}, "entrega": {3, 300, 1900}, "perdidos": {3, 300, 1900}, "fichas": {3, 35, 300},
		},
	}
	for _, deployment := range deployments {
		cd := compileExample(t, deployment)
		fl, err := config.LoadFleet(examplePath(deployment, "upstreams.json"))
		if err != nil {
			t.Fatal(err)
		}
		got := make(map[string]size)
		for _, fg := range fl.GetGroups() {
			servers := got[fg.GetService()].servers + fg.GetServers()
			got[fg.GetService()] = size{servers, fg.GetSlots(), fg.GetConnections()}
		}
		for service, sz := range want[deployment] {
			if got[service] != sz {
				t.Errorf("%s: %s has %+v, want %+v", deployment, service, got[service], sz)
			}
		}
		for _, fc := range fl.GetCalls() {
			from, ok := cd.Match(fc.GetMethod(), fc.GetPathPrefix())
			to, found := cd.Match(fc.GetMethod(), fc.GetTo())
			if !ok || !found || from.Class != to.Class || from.Idempotent != to.Idempotent {
				t.Errorf("%s: call %v goes from %+v to %+v", deployment, fc, from, to)
			}
		}
	}
}
