package measure

import (
	"io"
	"slices"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/lab/standin"

	"github.com/pkg/errors"
)

func TestConfigurationIsValid(t *testing.T) {
	cd, err := config.Compile(configuration(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, pt := range []standin.Pattern{lookup, issue, list, lookupDeepest} {
		kd, ok := cd.Match(pt.Method, pt.Path+"/1")
		if !ok || kd.Class != pt.Class || kd.Importance != pt.Importance || kd.Idempotent != (pt.Method == "GET") || kd.KeyRequired != pt.Keyed {
			t.Errorf("%s %s is of kind %+v", pt.Method, pt.Path, kd)
		}
	}
}

// TestDemand checks the demand of the scenarios: normal demand fits the capacity, the
// demand of the trigger is the one that defines the scenario, and the most important
// class alone fits the expected goodput.
func TestDemand(t *testing.T) {
	for name, sc := range scenarios {
		var normal, trigger, important float64
		for _, sm := range sc.streams {
			normal += sm.normalDemand
			trigger += sm.triggerDemand
			if sm.pattern.Importance == lookup.Importance {
				important += sm.triggerDemand
			}
		}
		if normal >= 0.75 || sc.expectedGoodput > 0 && important*capacity > 0.8*sc.expectedGoodput {
			t.Errorf("%s: normal demand %v, important demand %v", name, normal, important)
		}
		if want := map[string]float64{"surge": 3, "slow-deep": 1.5, "silent": 0.7, "faults": 0.5}[name]; trigger < want-1e-9 || trigger > want+1e-9 {
			t.Errorf("%s: demand of the trigger is %v, want %v", name, trigger, want)
		}
	}
}

// TestDeepestBoundsTheCapacity checks that the services that call the deepest one have
// more capacity, with the time that their slots are held by calls.
func TestDeepestBoundsTheCapacity(t *testing.T) {
	held, slots := make(map[call.Service]time.Duration), make(map[call.Service]int)
	for _, vm := range vms() {
		held[vm.Service], slots[vm.Service] = vm.ServiceTime, slots[vm.Service]+vm.Slots
	}
	above := time.Duration(0)
	for _, service := range []call.Service{deepest, middle, front} {
		above += held[service]
		rate := float64(slots[service]) / above.Seconds()
		if (service == deepest) != (rate <= capacity) {
			t.Errorf("%s runs %v requests a second, capacity is %v", service, rate, float64(capacity))
		}
	}
}

// TestPlan checks how the time of an arm is divided into its periods.
func TestPlan(t *testing.T) {
	pn := newPlan(38 * time.Second)
	if total := pn.settle + pn.before + pn.trigger + pn.after; total != 16*time.Second || pn.trigger != 5*time.Second {
		t.Errorf("plan = %+v", pn)
	}
	start := at(0)
	tl := pn.timeline(start)
	if tl.begin != at(2000) || tl.triggerStart != at(5000) || tl.triggerEnd != at(10000) || tl.end != at(16000) {
		t.Errorf("timeline = %+v", tl)
	}
}

// TestRunRefusesWrongOptions checks the errors for an unknown scenario and for too short
// a time, and the list of the scenarios.
func TestRunRefusesWrongOptions(t *testing.T) {
	if err := Run(t.Context(), Options{Scenario: "none"}, io.Discard); !errors.Is(err, ErrUnknownScenario) {
		t.Errorf("Run = %v, want ErrUnknownScenario", err)
	}
	if err := Run(t.Context(), Options{Scenario: "surge", Seconds: 1}, io.Discard); !errors.Is(err, ErrTooShort) {
		t.Errorf("Run = %v, want ErrTooShort", err)
	}
	if want := []string{"failover", "faults", "latency", "partition", "rollout", "silent", "slow-deep", "spread", "surge"}; !slices.Equal(Scenarios(), want) {
		t.Errorf("Scenarios = %v, want %v", Scenarios(), want)
	}
}

// TestSilenceNeedsAConnection guards against a scenario silent that silences no
// connection and therefore measures no fault.
func TestSilenceNeedsAConnection(t *testing.T) {
	if err := new(fleet).silenceConnections(); !errors.Is(err, ErrNoConnection) {
		t.Errorf("silence = %v, want ErrNoConnection", err)
	}
}
