package entry

import (
	"net/http"
	"slices"
	"time"

	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
)

// Reject returns the refusal of a request whose header alone rules it out, so that its body need not
// be read, or nil. The request needs no body and no header: its URI, host, key, deadline and label
// count. ServeRequest decides in full, and need not be called after a refusal.
func (en *Entry) Reject(rd *Request) *attempt.Answer {
	an := en.rejection(rd)
	if an != nil {
		now := time.Now()
		en.observe(nil, an, 0)
		en.logRequest(rd, nil, an, now)
	}
	return an
}

// rejection returns the refusal of a request by its header, or nil.
func (en *Entry) rejection(rd *Request) *attempt.Answer {
	cd := en.config.Load()
	if cd == nil {
		return attempt.Refusal(ReasonNoConfiguration, time.Second)
	}
	rt, ok := routeOf(cd, rd.Host, rd.URI)
	if !ok {
		return refusalWithStatus(ReasonNoService, http.StatusNotFound)
	}
	if cd.HasCustomers() {
		mayBeCall := func() bool {
			known := slices.ContainsFunc(rt.Kinds, func(kd *config.Kind) bool { return en.opt.Trees.KnownCalls(kd.Class) })
			return known || en.opt.Trees.Running() || en.recentlyStarted()
		}
		if _, an := en.customerOf(cd, credentialOf(rd), rt.Public, mayBeCall); an != nil {
			return an
		}
	}
	if en.stopping.Load() && en.surelyFromCaller(cd, rt, rd) {
		return attempt.Refusal(ReasonStopping, en.jitter(stopRetryAfter))
	}
	return nil
}

// surelyFromCaller reports whether a request cannot be a call of the upstream on the VM. Calls are
// served while the entry stops.
func (en *Entry) surelyFromCaller(cd *config.Compiled, rt *config.Route, rd *Request) bool {
	if cd.HasCustomers() && credentialOf(rd).present {
		return true
	}
	return !slices.ContainsFunc(rt.Kinds, func(kd *config.Kind) bool { return !en.opt.Trees.FromCallers(kd.Class) })
}
