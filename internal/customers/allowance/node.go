package allowance

import (
	"time"

	"camphortrail/call"
)

// Node is the Wallet and the Stock of one node. The wallet gets its tokens from the stock.
type Node struct {
	Wallet *Wallet
	Stock  *Stock

	demands []Demand
	grants  []Grant
}

// NewNode returns a node without tokens. capOf returns the cap of a customer in the
// configuration in force at the node.
func NewNode(bo Bounds, capOf func(call.Customer) (Cap, bool)) *Node {
	return &Node{Wallet: NewWallet(bo), Stock: NewStock(bo, capOf)}
}

// Arrive counts a request of a customer and takes a token for it. If there is none in the
// wallet, tokens are transferred from the stock. ask is true if the parent should be queried.
func (nd *Node) Arrive(now time.Time, name call.Customer) (issued time.Time, ok, ask bool) {
	issued, ok = nd.Wallet.Arrive(now, name)
	if ok {
		nd.transfer(now)
		return issued, true, nd.Stock.Wants(now, true)
	}
	nd.Wallet.Wait(now, name)
	return nd.Retake(now, name)
}

// Retake takes a token for a request that waits, and ends its wait if there is one. ask is true if
// the parent should be queried.
func (nd *Node) Retake(now time.Time, name call.Customer) (issued time.Time, ok, ask bool) {
	nd.transfer(now)
	issued, ok = nd.Wallet.Take(now, name)
	if ok {
		nd.Wallet.StopWaiting(now, name)
	}
	return issued, ok, nd.Stock.Wants(now, true)
}

// transfer moves tokens from the stock to the wallet, as far as it lacks them.
func (nd *Node) transfer(now time.Time) {
	if len(nd.Wallet.wanting) > 0 {
		nd.demands = nd.Wallet.Demands(now, nd.demands[:0])
		nd.grants = nd.Stock.Grant(now, ownWallet, nd.demands, nd.grants[:0])
		nd.Wallet.Receive(now, now, nd.grants)
	}
}

// Demands appends what the node asks its parent for to out. It must be called for each query.
func (nd *Node) Demands(now time.Time, out []Demand) []Demand {
	nd.transfer(now)
	return nd.Stock.Demands(now, out)
}

// Receive adds the tokens of the answer to the query that was sent at asked. ask is true if the
// parent should be queried again for children.
func (nd *Node) Receive(asked, now time.Time, grants []Grant) (ask bool) {
	if !nd.Stock.Receive(asked, now, grants) {
		return false
	}
	nd.transfer(now)
	return nd.Stock.Wants(now, false)
}

// Grant transfers tokens for the demands of a child and appends the answers to out. ask is true
// if the parent should be queried.
func (nd *Node) Grant(now time.Time, child string, demands []Demand, out []Grant) (answer []Grant, ask bool) {
	out = nd.Stock.Grant(now, child, demands, out)
	return out, nd.Stock.Wants(now, false)
}
