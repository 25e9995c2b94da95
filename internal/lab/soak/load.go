package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"
)

const (
	// minLongShare and maxLongShare bound the work of a long request of a deployment, as a share of the
	// time-out of its route.
	minLongShare, maxLongShare = 0.8, 1.3
	// noDeadlineShare is the share of requests whose callers state no deadline.
	noDeadlineShare = 0.1
	// partsShare is the share of answers that come in parts, with Mix.Parts.
	partsShare = 0.3
	// answerPartGap bounds the time between two parts of an answer, in milliseconds.
	answerPartGap = 100
)

// chooseRequest returns the next request of a caller.
func (dep *Deployment) chooseRequest(rnd *rand.Rand, mx Mix, ahead bool) *request {
	ro := dep.chooseRoute(rnd, ahead)
	rq := &request{
		kind: ro.Kind, deadline: ro.deadline(), timeout: ro.timeout(), key: dep.chooseKey(rnd),
		length: 1 + rnd.IntN(2*ro.AnswerBytes+1),
	}
	work := ro.chooseWork(rnd)
	if rnd.Float64() < mx.Long {
		share := minLongShare + (maxLongShare-minLongShare)*rnd.Float64()
		work = time.Duration(share * float64(ro.timeout()))
	}
	if rnd.Float64() < noDeadlineShare {
		rq.deadline = 0
	}
	query := dep.query(rnd, ro, work, rq.length)
	if rnd.Float64() < mx.Parts*partsShare {
		query.Set("part-gap", strconv.Itoa(1+rnd.IntN(answerPartGap)))
	}
	rq.path = "/" + ro.Name + "/a?" + query.Encode()
	if ro.BodyBytes > 0 {
		rq.body = make([]byte, 1+rnd.IntN(2*ro.BodyBytes))
	}
	if rq.body != nil && rnd.Float64() < mx.SlowBodies {
		rq.parts, rq.partGap = 2+rnd.IntN(maxChunks-1), rand64(rnd, 250*time.Millisecond)
	}
	return rq
}

// chooseRoute returns a route of callers, for callers that send ahead a safe one if there is any.
func (dep *Deployment) chooseRoute(rnd *rand.Rand, ahead bool) *RouteLoad {
	sum := 0.0
	fits := func(ro *RouteLoad) bool { return ro.Weight > 0 && (!ahead || ro.Kind == Safe) }
	for i := range dep.Routes {
		if fits(&dep.Routes[i]) {
			sum += dep.Routes[i].Weight
		}
	}
	if sum == 0 {
		return dep.chooseRoute(rnd, false)
	}
	at := sum * rnd.Float64()
	var last *RouteLoad
	for i := range dep.Routes {
		ro := &dep.Routes[i]
		if !fits(ro) {
			continue
		}
		if last = ro; at < ro.Weight {
			break
		}
		at -= ro.Weight
	}
	return last
}

// chooseWork returns the time of the work of a request, from a log-normal distribution.
func (ro *RouteLoad) chooseWork(rnd *rand.Rand) time.Duration {
	ms := ro.WorkMS * math.Exp(ro.Spread*rnd.NormFloat64()-ro.Spread*ro.Spread/2)
	if ro.MaxWorkMS > 0 {
		ms = min(ms, ro.MaxWorkMS)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// query returns what the upstream reads of a request, with all calls of its tree.
func (dep *Deployment) query(rnd *rand.Rand, ro *RouteLoad, work time.Duration, length int) url.Values {
	query := url.Values{"work": {milliseconds(work)}, "bytes": {strconv.Itoa(length)}}
	for _, rc := range ro.Calls {
		called := dep.route(rc.Route)
		for range rc.Times {
			inner := dep.query(rnd, called, called.chooseWork(rnd), 1+called.AnswerBytes)
			query.Add("call", "/"+called.Name+"/a?"+inner.Encode())
		}
		if rc.Together {
			query.Set("together", "1")
		}
	}
	return query
}

// chooseKey returns the key of a customer, or "" without customers.
func (dep *Deployment) chooseKey(rnd *rand.Rand) string {
	cl := dep.Customers
	sum := 0.0
	for n := range cl.Count {
		sum += cl.share(n)
	}
	at := sum * rnd.Float64()
	for n := range cl.Count {
		if at -= cl.share(n); at < 0 || n == cl.Count-1 {
			return customerKey(n)
		}
	}
	return ""
}

// share returns the share of a customer among the requests, relative to that of the largest.
func (cl CustomerLoad) share(number int) float64 { return math.Pow(float64(number+1), -cl.Skew) }

func customerName(number int) string { return fmt.Sprintf("customer-%d", number) }

func customerKey(number int) string { return fmt.Sprintf("key-%d", number) }

// callersPerNode returns the number of kept connections at each node.
func (fl *Fleet) callersPerNode() int {
	if dep := fl.opt.Deployment; dep != nil {
		return dep.CallersPerNode
	}
	return callersPerNode
}
