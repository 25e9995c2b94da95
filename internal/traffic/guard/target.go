package guard

import (
	"context"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/upstream"
	"camphortrail/membership"
)

// target is one run of the upstream process and the connections to it. Another process may get
// the same address later, so the connections of a target serve no other one.
type target struct {
	upstream membership.Upstream
	client   *upstream.Client
}

// SetUpstream applies what the upstream announced. nil means that it has left. The error
// is that of ctx. It must not be called concurrently.
func (gd *Guard) SetUpstream(ctx context.Context, up *membership.Upstream) error {
	old := gd.target.Load()
	isSame := old != nil && up != nil && up.SameRun(old.upstream)
	var tg *target
	switch {
	case isSame:
		tg = &target{upstream: *up, client: old.client}
	case up != nil:
		tg = &target{upstream: *up, client: upstream.New()}
	}
	gd.target.Store(tg)
	if old != nil && !isSame {
		old.client.Close()
	}
	if up == nil {
		return gd.loop.inputs.Put(ctx, input{event: admission.Announce{}})
	}
	if up.Service != gd.learnedService {
		// There may have been no upstream in between.
		gd.learnedService = up.Service
		gd.furtherSends.reset()
		gd.load.reset()
	}
	if old != nil && up.Service != old.upstream.Service {
		// The attempts that wait are for the former service.
		if err := gd.loop.inputs.Put(ctx, input{event: admission.Announce{}}); err != nil {
			return err
		}
	}
	switch {
	case up.Draining:
		if err := gd.loop.inputs.Put(ctx, input{event: admission.Drain{}}); err != nil || isSame {
			return err
		}
	case !isSame || old.upstream.Draining:
		if err := gd.loop.inputs.Put(ctx, input{event: admission.Resume{}}); err != nil {
			return err
		}
	}
	ev := admission.Announce{Slots: int(up.Slots), WarmUp: up.WarmUp, Restarted: !isSame}
	return gd.loop.inputs.Put(ctx, input{event: ev})
}

// targetFor returns the target that may run an attempt, or a refusal if there is none. An
// attempt may have waited since before the target's announcement.
func (gd *Guard) targetFor(at *attempt.Attempt) (*target, *attempt.Answer) {
	tg := gd.target.Load()
	switch {
	case tg == nil:
		return nil, attempt.Refusal(ReasonNoUpstream, fullRetryAfter)
	case tg.upstream.Service != at.Service:
		return nil, attempt.Refusal(ReasonWrongService, 0)
	case tg.hasEnded(time.Now()):
		return nil, attempt.Refusal(admission.Leaving.String(), 0)
	}
	return tg, nil
}

// Service returns the service of the upstream, or "" without an upstream.
func (gd *Guard) Service() call.Service {
	if tg := gd.target.Load(); tg != nil {
		return tg.upstream.Service
	}
	return ""
}
