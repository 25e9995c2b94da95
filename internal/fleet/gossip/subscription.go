package gossip

import (
	"camphortrail/membership"
	"camphortrail/queue"
)

// Notice is one element of a subscription.
type Notice struct {
	// Resync says that changes were lost, so that the subscriber must call Members.
	// Change is then not set.
	Resync bool
	Change membership.Changed
}

// subscription is a bounded queue of changes that records when changes were lost.
type subscription struct {
	notices *queue.Queue[Notice]
	lost    bool
}

// Subscribe returns a bounded queue of membership changes.
func (gs *Gossip) Subscribe() <-chan Notice {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	sub := &subscription{notices: queue.New[Notice](noticeCapacity)}
	gs.subs = append(gs.subs, sub)
	return sub.notices.Out()
}

// offer adds a change, or records it as lost if the queue is full. While a resync is due,
// further changes are dropped too, because the resync covers them.
func (sb *subscription) offer(ch membership.Changed) {
	if sb.lost || !sb.notices.Offer(Notice{Change: ch}) {
		sb.lost = true
	}
}

// offerResync adds a resync notice if changes were lost and the queue has capacity again.
func (sb *subscription) offerResync() {
	if sb.lost && sb.notices.Offer(Notice{Resync: true}) {
		sb.lost = false
	}
}
