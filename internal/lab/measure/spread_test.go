package measure

import (
	"io"
	"math"
	"net"
	"testing"
	"time"

	"camphortrail/config"
)

func TestFit(t *testing.T) {
	for _, tc := range []struct {
		name        string
		at, values  []float64
		base, slope float64
	}{
		{"exact", []float64{50, 100, 200}, []float64{110, 210, 410}, 10, 2},
		{"level", []float64{50, 100, 200}, []float64{7, 7, 7}, 7, 0},
		{"falling", []float64{50, 100}, []float64{4, 2}, 6, -0.04},
		// Computed by hand: means 2 and 3, sum of products 3, sum of squares 2.
		{"scattered", []float64{1, 2, 3}, []float64{1, 4, 4}, 0, 1.5},
		{"same x", []float64{5, 5}, []float64{1, 3}, 2, 0},
		{"no points", nil, nil, 0, 0},
	} {
		rl := fitLine(tc.at, tc.values)
		if math.Abs(rl.intercept-tc.base) > 1e-9 || math.Abs(rl.slope-tc.slope) > 1e-9 {
			t.Errorf("%s: line %+v, want base %v and slope %v", tc.name, rl, tc.base, tc.slope)
		}
	}
}

// TestSpreadFigures checks that the use of a node is that of the process minus that of
// the control replicas, and that the use of a change excludes the use without changes.
func TestSpreadFigures(t *testing.T) {
	sa := spreadSample{
		idle:        idleUse{resourceUse: resourceUse{length: 2 * time.Second, processor: 400 * time.Millisecond, sent: sentBytes{udp: 2000, tcp: 200}}, heap: 25e6},
		changeUse:   resourceUse{length: 4 * time.Second, processor: 1200 * time.Millisecond, sent: sentBytes{udp: 4800, tcp: 2400}},
		changeCount: 2, inForce: []time.Duration{30 * time.Millisecond, 50 * time.Millisecond}, drains: []time.Duration{time.Second}, unaware: 2, ownUnaware: 3,
	}
	controls := idleUse{resourceUse: resourceUse{length: time.Second, processor: 100 * time.Millisecond}, heap: 5e6}
	want := SpreadFigures{
		Scenario: "spread", Nodes: 10, Changes: 2, Drains: 1, InForceP50MS: 30, InForceP100MS: 50, DrainP100MS: 1000, DrainUnaware: 2, DrainOwnUnaware: 3,
		UDPIdle: 100, TCPIdle: 10, UDPChange: 40, TCPChange: 100, BytesPerSecond: roundTo4(110 + 140*3000/86400.0),
		CPUIdle: 0.01, CPUChangeMS: 20, CPU: roundTo6(0.01 + 0.02*3000/86400.0), HeapMB: 2, ControlCPU: 0.1, ControlHeapMB: 5,
	}
	if got := sa.figures(10, controls); got != want {
		t.Errorf("figures = %+v, want %+v", got, want)
	}
}

// TestFitSpread checks the lines through the figures, and their values at designNodes.
func TestFitSpread(t *testing.T) {
	ft := fitSpread([]SpreadFigures{{Nodes: 50, BytesPerSecond: 1000, HeapMB: 3}, {Nodes: 100, BytesPerSecond: 1500, HeapMB: 3}, {Nodes: 200, BytesPerSecond: 2500, HeapMB: 3}})
	if got, want := ft.Lines["bytes-per-node-s"], (SpreadLine{SlopePerNode: 10, Intercept: 500, Value: 11500}); got != want {
		t.Errorf("line of bytes = %+v, want %+v", got, want)
	}
	if got, want := ft.Lines["heap-mb-per-node"], (SpreadLine{Intercept: 3, Value: 3}); got != want {
		t.Errorf("line of heap = %+v, want %+v", got, want)
	}
}

func TestSpreadConfigurationIsValid(t *testing.T) {
	cd, err := config.Compile(spreadConfiguration(1), 1)
	if err != nil {
		t.Fatal(err)
	}
	if kd, ok := cd.Match("GET", "/service-27/kind-9/1"); !ok || !kd.Idempotent {
		t.Errorf("kind = %+v, %v", kd, ok)
	}
	if err := config.Check(spreadConfiguration(2)); err != nil {
		t.Error(err)
	}
}

// TestSpreadTimes checks how additional time is divided between settling and changes.
func TestSpreadTimes(t *testing.T) {
	for _, tc := range []struct {
		seconds, changes int
		settle           time.Duration
	}{
		{30, 4, 0},
		{33, 4, 0},
		{43, 5, 6 * time.Second},
		{93, 14, 36 * time.Second},
	} {
		times := newSpreadTimes(tc.seconds)
		var settle time.Duration
		for _, d := range times.settle {
			settle += d
		}
		if times.changes != tc.changes || (settle-tc.settle).Abs() > time.Millisecond {
			t.Errorf("%d s: %d changes, settling for %v, want %d, %v", tc.seconds, times.changes, settle, tc.changes, tc.settle)
		}
	}
}

// TestTrafficCountsSockets checks the counts of bytes written to wrapped sockets.
func TestTrafficCountsSockets(t *testing.T) {
	var ct controlTraffic
	here, there := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	stream := ct.sockets().WrapStream(here)
	for range 3 {
		if _, err := stream.Write(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	stream.Close()
	conn, err := net.ListenPacket("udp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	packets := ct.sockets().WrapPacket(conn)
	defer packets.Close()
	if _, err := packets.WriteTo(make([]byte, 72), conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	if got, want := ct.read(), (sentBytes{udp: 100, tcp: 300}); got != want {
		t.Errorf("sent %+v, want %+v", got, want)
	}
}
