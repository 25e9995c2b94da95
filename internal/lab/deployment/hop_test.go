package deployment

import (
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"camphortrail/internal/lab/standin"
	meter "camphortrail/internal/ops/process"
)

// BenchmarkHop sends requests through one node to the upstream beside another node, on
// one processor as on the VMs of customers, and reports the processor time of a request.
// It includes the time of the caller and of the upstream, which run in the same process;
// a profile separates them.
func BenchmarkHop(b *testing.B) {
	const senders = 12
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	fl := startFleet(b, 1, 10*time.Second,
		standin.UpstreamOptions{Service: middle, Slots: 50},
		standin.UpstreamOptions{Service: front, Slots: 50, ServiceTime: 2 * time.Millisecond})
	url := fl.CallerURLs()[0] + "/" + string(front) + "/" + lookups
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}}
	defer client.CloseIdleConnections()
	work := make(chan bool)
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for range work {
				res, err := client.Get(url)
				if err != nil {
					b.Error(err)
					continue
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if res.StatusCode != http.StatusOK {
					b.Errorf("status %d", res.StatusCode)
				}
			}
		})
	}
	begun := meter.ProcessorTime()
	for b.Loop() {
		work <- true
	}
	close(work)
	group.Wait()
	b.ReportMetric(float64((meter.ProcessorTime()-begun).Microseconds())/float64(b.N), "cpu-us/op")
}
