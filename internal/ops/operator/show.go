package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

const (
	maxParallelCalls = 32
	showCallTimeout  = 2 * time.Second
)

// NodeReport is the state of one node, as the node itself reports it. InForceS is the time for
// which the revision has been in force there, in seconds. Error is set if the node did not
// answer.
type NodeReport struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	InForceS      uint64 `json:"in-force-s"`
	Error         string `json:"error,omitempty"`
}

// UpstreamReport is the state of one upstream, as the node beside it reports it. If that node
// does not report it, the state is the one known to the node that Show asked first.
type UpstreamReport struct {
	Service       string `json:"service"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
	Slots         uint32 `json:"slots"`
	Running       uint32 `json:"running"`
	Waiting       uint32 `json:"waiting"`
	// Level is the admission level of the guard, in the form IMPORTANCE.COHORT.
	Level string `json:"level"`
}

// ControlReport is the state of one control replica, as the replica reports it. Current is true
// if the replica can prove that its state is current. Error is set if it did not answer.
type ControlReport struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Revision uint64 `json:"revision"`
	Current  bool   `json:"current"`
	Error    string `json:"error,omitempty"`
}

// Report is the state of a deployment.
type Report struct {
	Nodes     []NodeReport     `json:"nodes"`
	Upstreams []UpstreamReport `json:"upstreams"`
	Controls  []ControlReport  `json:"control-replicas"`
}

// Show asks the node at the address which processes it knows, and then each of them for its
// state.
func (cl *Client) Show(ctx context.Context, address string) (*Report, error) {
	first, err := cl.status(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "show "+address)
	}
	rp := &Report{Controls: cl.controlReports(ctx)}
	statusByUpstream := make(map[string]*schema.UpstreamStatus)
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for _, me := range first.GetMembers() {
		if me.GetRole() != "node" {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			nr, own := cl.nodeReport(ctx, me)
			mu.Lock()
			defer mu.Unlock()
			rp.Nodes = append(rp.Nodes, nr)
			for _, up := range own {
				statusByUpstream[up.GetVm()+" "+up.GetService()] = up
			}
		})
	}
	group.Wait()
	for _, up := range first.GetUpstreams() {
		if own := statusByUpstream[up.GetVm()+" "+up.GetService()]; own != nil {
			up = own
		}
		rp.Upstreams = append(rp.Upstreams, upstreamReport(up))
	}
	rp.sort()
	return rp, nil
}

// status asks one node for its state and what it knows of others.
func (cl *Client) status(ctx context.Context, address string) (*schema.StatusResponse, error) {
	ctx, stop := context.WithTimeout(ctx, showCallTimeout)
	defer stop()
	rs, err := schemaconnect.NewPeerClient(cl.HTTP, "http://"+address).Status(ctx, connect.NewRequest(&schema.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return rs.Msg, nil
}

// nodeReport asks a node for its state and that of the upstreams beside it.
func (cl *Client) nodeReport(ctx context.Context, me *schema.MemberStatus) (NodeReport, []*schema.UpstreamStatus) {
	nr := NodeReport{VM: me.GetName(), FailureDomain: me.GetFailureDomain(), State: me.GetState()}
	st, err := cl.status(ctx, me.GetAddress())
	if err != nil {
		nr.Error = err.Error()
		return nr, nil
	}
	nr.Revision, nr.InForceS = st.GetRevision(), st.GetInForceS()
	var own []*schema.UpstreamStatus
	for _, up := range st.GetUpstreams() {
		if up.GetVm() == me.GetName() {
			own = append(own, up)
		}
	}
	return nr, own
}

// upstreamReport translates the status of an upstream.
func upstreamReport(up *schema.UpstreamStatus) UpstreamReport {
	lv := call.Level(up.GetLevel())
	return UpstreamReport{
		Service: up.GetService(), VM: up.GetVm(), FailureDomain: up.GetFailureDomain(), State: up.GetState(),
		Slots: up.GetSlots(), Running: up.GetRunning(), Waiting: up.GetWaiting(),
		Level: fmt.Sprintf("%d.%d", lv.Importance(), lv.Cohort()),
	}
}

// controlReports asks each control replica for its state.
func (cl *Client) controlReports(ctx context.Context) []ControlReport {
	var all []ControlReport
	for _, address := range cl.ControlAddresses {
		cr := ControlReport{Address: address}
		callCtx, stop := context.WithTimeout(ctx, showCallTimeout)
		client := schemaconnect.NewControlClient(cl.HTTP, "http://"+address)
		rs, err := client.ControlStatus(callCtx, connect.NewRequest(&schema.ControlStatusRequest{}))
		stop()
		if err != nil {
			cr.Error = err.Error()
		} else {
			st := rs.Msg
			cr.Name, cr.Role, cr.Leader, cr.Term = st.GetName(), st.GetRole(), st.GetLeader(), st.GetTerm()
			cr.Commit, cr.Revision, cr.Current = st.GetCommit(), st.GetRevision(), st.GetCurrent()
		}
		all = append(all, cr)
	}
	return all
}

// sort sorts nodes by VM, and upstreams by service and VM.
func (rp *Report) sort() {
	slices.SortFunc(rp.Nodes, func(a, b NodeReport) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(rp.Upstreams, func(a, b UpstreamReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM))
	})
}

// WriteSummary writes a line for each control replica, the number of nodes by revision in
// force, and totals of the upstreams by service and state.
func (rp *Report) WriteSummary(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "CONTROL REPLICA\tROLE\tTERM\tCOMMIT\tREVISION\tCURRENT")
	for _, cr := range rp.Controls {
		fmt.Fprintf(tw, "%s %s\t%s\t%d\t%d\t%d\t%t %s\n", cr.Name, cr.Address, cr.Role, cr.Term, cr.Commit, cr.Revision, cr.Current, cr.Error)
	}
	fmt.Fprintln(tw, "\nREVISION IN FORCE\tNODES\tNEWEST SINCE S")
	for _, line := range rp.revisionLines() {
		fmt.Fprintf(tw, "%s\t%d\t%d\n", line.name, line.count, line.since)
	}
	fmt.Fprintln(tw, "\nSERVICE\tSTATE\tVMS\tSLOTS\tRUNNING\tWAITING\tHIGHEST LEVEL")
	for _, line := range rp.serviceLines() {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", line.Service, line.State, line.vms, line.Slots, line.Running, line.Waiting, line.Level)
	}
	return tw.Flush()
}

// WriteDetails writes a line for each node and each upstream.
func (rp *Report) WriteDetails(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "\nVM\tFAILURE DOMAIN\tSTATE\tREVISION\tSINCE S\tERROR")
	for _, nr := range rp.Nodes {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\n", nr.VM, nr.FailureDomain, nr.State, nr.Revision, nr.InForceS, nr.Error)
	}
	fmt.Fprintln(tw, "\nSERVICE\tVM\tFAILURE DOMAIN\tSTATE\tSLOTS\tRUNNING\tWAITING\tLEVEL")
	for _, up := range rp.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", up.Service, up.VM, up.FailureDomain, up.State, up.Slots, up.Running, up.Waiting, up.Level)
	}
	return tw.Flush()
}

// revisionLine counts the nodes with the same revision in force, or those without an answer.
// since is the shortest time for which the revision has been in force on one of them, in
// seconds.
type revisionLine struct {
	name  string
	count int
	since uint64
}

// revisionLines counts the nodes by revision in force; the most frequent revision is first.
func (rp *Report) revisionLines() []revisionLine {
	var lines []revisionLine
	for _, nr := range rp.Nodes {
		name := fmt.Sprint(nr.Revision)
		if nr.Error != "" {
			name = "no answer"
		}
		i := slices.IndexFunc(lines, func(ln revisionLine) bool { return ln.name == name })
		if i < 0 {
			lines = append(lines, revisionLine{name: name, since: nr.InForceS})
			i = len(lines) - 1
		}
		lines[i].count++
		lines[i].since = min(lines[i].since, nr.InForceS)
	}
	slices.SortFunc(lines, func(a, b revisionLine) int { return cmp.Compare(b.count, a.count) })
	return lines
}

// serviceLine holds the totals of the upstreams of one service in one state. Level is the
// highest of their levels.
type serviceLine struct {
	UpstreamReport
	vms int
}

// serviceLines sums the upstreams by service and state.
func (rp *Report) serviceLines() []serviceLine {
	var lines []serviceLine
	for _, up := range rp.Upstreams {
		i := slices.IndexFunc(lines, func(ln serviceLine) bool { return ln.Service == up.Service && ln.State == up.State })
		if i < 0 {
			lines = append(lines, serviceLine{UpstreamReport: up, vms: 1})
			continue
		}
		ln := &lines[i]
		ln.vms++
		ln.Slots += up.Slots
		ln.Running += up.Running
		ln.Waiting += up.Waiting
		ln.Level = max(ln.Level, up.Level)
	}
	return lines
}
