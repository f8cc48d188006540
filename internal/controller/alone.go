package controller

import (
	"context"
	"time"

	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// A controller that has lost the state service asks its siblings whether they are there. If
// none answers it is alone, whatever it hears of workers and users, and is of no use to users;
// if some do, the state service is out for all, or refuses this one, which the leader tells.
//
// Guard: alone with the workers, a controller took the state service for out, said that it was
// well, and the load balancer sent it a third of all users, who got 503 for as long as it lasted.
const (
	askSiblings  = 1500 * time.Millisecond // without an answer of the state service until siblings are asked
	askAgain     = time.Second             // between two questions
	aloneAfter   = 3 * time.Second         // without the state service and any sibling
	siblingWaits = 900 * time.Millisecond  // for an answer
)

// askAround asks the siblings, on the loop, while the state service does not answer.
func (n *Node) askAround(now time.Time) {
	seen := n.storeSeen.Load()
	if seen == 0 || now.Sub(n.start)-time.Duration(seen) < askSiblings || now.Sub(n.askedAround) < askAgain {
		return
	}
	n.askedAround = now
	for _, l := range n.links {
		if l.local {
			continue
		}
		peer := l.peer
		n.world.Go(func() {
			ctx, cancel := context.WithTimeout(n.ctx, siblingWaits)
			defer cancel()
			// A message under no token has no effect, and is answered.
			if _, err := peer.Round(ctx, &peerspb.RoundRequest{Leader: n.cfg.Member}); err == nil {
				n.heardSibling(n.world.Now())
			}
		})
	}
}

// heardSibling notes that another controller is in reach; it may be called from anywhere.
func (n *Node) heardSibling(now time.Time) { n.siblingSeen.Store(int64(now.Sub(n.start)) + 1) }

// alone tells that neither the state service nor any sibling was heard of for some time.
func (n *Node) alone(at time.Duration) bool {
	return at-time.Duration(n.storeSeen.Load()) > aloneAfter && at-time.Duration(n.siblingSeen.Load()) > aloneAfter && len(n.links) > 1
}
