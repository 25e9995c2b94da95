package gossip

import (
	"camphortrail/membership"
	"camphortrail/queue"
)

// Notice is one entry of a subscription.
type Notice struct {
	// Resync says that changes were lost: take Members anew. Change is not
	// set then.
	Resync bool
	Change membership.Changed
}

// subscription is a bounded queue of changes that notes when some were lost.
type subscription struct {
	notices *queue.Queue[Notice]
	lost    bool
}

// Subscribe returns a bounded queue of changes.
func (gs *Gossip) Subscribe() <-chan Notice {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	sub := &subscription{notices: queue.New[Notice](noticeCapacity)}
	gs.subs = append(gs.subs, sub)
	return sub.notices.Out()
}

// offer adds a change, unless one is lost already: what follows the loss is
// part of the resync.
func (sb *subscription) offer(ch membership.Changed) {
	if sb.lost || !sb.notices.Offer(Notice{Change: ch}) {
		sb.lost = true
	}
}

// resync reports lost changes once there is room.
func (sb *subscription) resync() {
	if sb.lost && sb.notices.Offer(Notice{Resync: true}) {
		sb.lost = false
	}
}
