// Package soak runs real processes of a deployment on loopback addresses for a while, with stand-in
// upstreams, callers, an operator and signals, and checks what was seen against the rules that the
// users judge by. All choices are made from one seed, so that a seed gives the same plan of events.
package soak

import (
	"hash/fnv"
	"math/rand/v2"
)

// Seed is the number from which all choices of a run are made.
type Seed uint64

// Rand returns the random source of an actor. Actors with different names have independent sources,
// so that one that makes more choices does not change those of the others.
func (se Seed) Rand(actor string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(actor))
	return rand.New(rand.NewPCG(uint64(se), hash.Sum64()))
}
